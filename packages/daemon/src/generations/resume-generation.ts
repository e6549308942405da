/** Resumes a generation for a caller that lost its entry or connection. */
import type {Logger, RequestId, Settings, TargetId} from '@samphirefield/core';
import {createSequencer} from '@samphirefield/policy';
import {setTimeout as delay} from 'node:timers/promises';
import type {EntryTables} from '../entry/index.js';
import type {ApiError} from '../http/index.js';
import type {TargetAddress, TargetClient} from '../targets/index.js';
import {relayStream} from './stream-relay.js';
import type {ResumePoint} from './resume-token.js';
import type {ResponseSink} from './types.js';

const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 150;

export interface ResumeDeps {
  readonly tables: EntryTables;
  readonly targets: TargetClient;
  readonly logger: Logger;
  readonly timing: Settings['timing'];
}

const GENERATION_LOST: ApiError = {
  status: 410,
  code: 'generation_lost',
  message: 'the target no longer has this generation',
  outcome: 'incomplete',
};

function findTarget(
  tables: EntryTables,
  point: ResumePoint,
): TargetAddress | undefined {
  const {target, incarnation} = point.location;
  const row = tables.targets.get(target as TargetId);
  if (row?.view.incarnation !== incarnation) return undefined;
  const {address, port} = row.view;
  return {target: row.view.target, incarnation, address, port};
}

export async function resumeGeneration(
  deps: ResumeDeps,
  id: RequestId,
  point: ResumePoint,
  sink: ResponseSink,
  callerDisconnected: AbortSignal,
): Promise<void> {
  const {generation} = point.location;
  const address = findTarget(deps.tables, point);
  deps.logger.info('route', {
    request: id,
    workspace: point.location.workspace,
    service: point.location.service,
    target: point.location.target,
    reason: 'resumed',
    runners_up: 'none',
    from_sequence: point.nextSequence,
  });
  if (address === undefined) {
    sink.fail(GENERATION_LOST);
    return;
  }
  sink.begin(point.location);
  const sequencer = createSequencer<string>(generation, point.nextSequence);
  for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
    if (attempts > 0) await delay(RETRY_DELAY_MS);
    const silenceTimeoutMs = deps.timing.stream_silence_ms;
    const opened = await deps.targets.resume(
      address,
      generation,
      sequencer.nextSequence,
      silenceTimeoutMs,
      callerDisconnected,
    );
    if (opened.isErr()) {
      if (opened.error.kind === 'failed') break;
      continue;
    }
    const end = await relayStream({
      body: opened.value.body,
      sequencer,
      forward: events => sink.forward(events),
      onDrain: resume => sink.onDrain(resume),
      silenceTimeoutMs,
      callerDisconnected,
    });
    if (end === 'done') {
      sink.finish();
      return;
    }
    if (end === 'caller_left') {
      await delay(deps.timing.resume_window_ms, undefined, {ref: false});
      await deps.targets.cancel(address, generation, true);
      return;
    }
    if (end === 'broken_sequence') break;
  }
  sink.fail(GENERATION_LOST);
}
