/**
 * Observes a run whose response was lost: whether its target is gone, which
 * tells a crash from a broken connection, and what the run was working on.
 */
import type {RequestId, TargetId} from '@samphirefield/core';
import {refusesConnections, type UpstreamAddress} from '../upstream/index.js';
import type {GatewayDependencies, RequestMetadata} from './types.js';

const REFUSAL_TIMEOUT_MS = 300;

export interface LostRun {
  readonly run: RequestId;
  readonly target: TargetId;
  readonly address: UpstreamAddress;
  readonly metadata: RequestMetadata;
  /** How long the target had been sending the body; undefined: not yet. */
  readonly answeringForMs: number | undefined;
}

export async function observeLostRun(
  deps: GatewayDependencies,
  lost: LostRun,
): Promise<void> {
  const {run, target, address, metadata, answeringForMs} = lost;
  const record = deps.reservations.findTarget(target);
  const isTargetGone = await refusesConnections(address, REFUSAL_TIMEOUT_MS);
  deps.logger.warn('run_lost', {
    request: metadata.attemptId,
    run,
    target,
    born_ms: record?.announcement.bornMs,
    target_state: record?.announcement.state ?? 'unknown',
    target_gone: isTargetGone,
    answering_ms: answeringForMs && Math.round(answeringForMs),
    prompt_parts: metadata.sharedPromptParts.join(','),
  });
}
