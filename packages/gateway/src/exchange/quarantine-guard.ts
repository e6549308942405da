/**
 * Keeps one request within the quarantine: refuses it while it holds what
 * crashes targets, and reports whether its runs were answered or crashed their
 * target.
 */
import type {Fingerprint, RequestId, TargetId} from '@samphirefield/core';
import type {RequestTrait} from '../quarantine/index.js';
import type {TargetAnnouncement} from '../registry/index.js';
import {refusesConnections, type UpstreamAddress} from '../upstream/index.js';
import type {
  GatewayDependencies,
  LocalResponse,
  RequestMetadata,
} from './types.js';

const REFUSAL_TIMEOUT_MS = 300;
/** A run that has been answering for this long has not crashed its target. */
export const PROVEN_AFTER_MS = 300;

export interface LostRun {
  readonly run: RequestId;
  readonly target: TargetId;
  readonly address: UpstreamAddress;
  /** How long the target had been sending the body; undefined: not yet. */
  readonly answeringForMs: number | undefined;
}

const refusal = (retryAfterMs: number): LocalResponse => ({
  kind: 'not_run',
  reason: 'targets crashed on requests like this one',
  retryAfterMs,
});

/** Why the end of a target is no crash that this run may have caused. */
function reasonNotCounted(
  state: TargetAnnouncement['state'] | undefined,
  answeringForMs: number | undefined,
): string | undefined {
  if (state !== 'ready') return `target_${state ?? 'unknown'}`;
  if ((answeringForMs ?? 0) >= PROVEN_AFTER_MS) return 'was_answering';
  return undefined;
}

export class QuarantineGuard {
  private trialOf: readonly Fingerprint[] = [];

  constructor(
    private readonly deps: GatewayDependencies,
    private readonly metadata: RequestMetadata,
    private readonly traits: readonly RequestTrait[],
  ) {}

  /** The response to a request that cannot be sent now. */
  refuse(): LocalResponse | undefined {
    const retryAfterMs = this.deps.quarantine.refusalMs(this.traits);
    return retryAfterMs === undefined ? undefined : refusal(retryAfterMs);
  }

  /** Decides right before the request is sent; undefined: it may be sent. */
  async refuseRun(): Promise<LocalResponse | undefined> {
    const admission = await this.deps.quarantine.admit(this.traits);
    if (admission.kind === 'refused') return refusal(admission.retryAfterMs);
    this.trialOf = admission.kind === 'trial' ? admission.suspects : [];
    return undefined;
  }

  recordAnswer(): void {
    this.deps.quarantine.recordAnswer(this.traits);
  }

  /** Logs a run that its caller or its timeout ended before any answer. */
  noteEndedRun({run, target}: Pick<LostRun, 'run' | 'target'>): void {
    this.deps.logger.info('run_ended_unanswered', {
      request: this.metadata.attemptId,
      run,
      target,
      fingerprint: this.traits[0]?.fingerprint,
    });
  }

  /** Finds out whether the target of a lost run has crashed. */
  async observeLostRun(lost: LostRun): Promise<void> {
    const {deps, traits, trialOf} = this;
    const {run, target, address, answeringForMs} = lost;
    const announcement = deps.reservations.findTarget(target)?.announcement;
    const isTargetGone = await refusesConnections(address, REFUSAL_TIMEOUT_MS);
    const notCounted = isTargetGone
      ? reasonNotCounted(announcement?.state, answeringForMs)
      : 'accepts_connections';
    deps.logger.warn('run_lost', {
      request: this.metadata.attemptId,
      run,
      target,
      born_ms: announcement?.bornMs,
      target_state: announcement?.state ?? 'unknown',
      target_gone: isTargetGone,
      answering_ms: answeringForMs && Math.round(answeringForMs),
      may_be_cause: notCounted === undefined,
      not_counted: notCounted,
      fingerprint: traits[0]?.fingerprint,
      trial: trialOf.length > 0 || undefined,
      prompt_parts: this.metadata.sharedPromptParts.join(','),
    });
    if (notCounted !== undefined || announcement === undefined) return;
    const crash = `${target}/${announcement.bornMs}`;
    deps.quarantine.recordCrash({crash, traits, trialOf});
  }
}
