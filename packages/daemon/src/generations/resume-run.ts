/** Goes on with a generation for a caller that lost its entry or connection. */
import type {Logger, RequestId, Settings, TargetId} from '@samphirefield/core';
import {createSequencer} from '@samphirefield/policy';
import {setTimeout as delay} from 'node:timers/promises';
import type {EntryTables} from '../entry/index.js';
import type {ApiError} from '../http/index.js';
import type {TargetAddress, TargetClient} from '../targets/index.js';
import {pump} from './pump.js';
import type {ResumePoint} from './resume-token.js';
import type {AnswerSink} from './types.js';

const MAX_TRIES = 5;
const PAUSE_MS = 150;

export interface ResumeDeps {
  readonly tables: EntryTables;
  readonly targets: TargetClient;
  readonly logger: Logger;
  readonly timing: Settings['timing'];
}

const LOST: ApiError = {
  status: 410,
  code: 'generation_lost',
  message: 'the target no longer has this generation',
  outcome: 'incomplete',
};

function locate(
  tables: EntryTables,
  point: ResumePoint,
): TargetAddress | undefined {
  const {target, incarnation} = point.place;
  const row = tables.targets.get(target as TargetId);
  if (row?.view.incarnation !== incarnation) return undefined;
  const {address, port} = row.view;
  return {target: row.view.target, incarnation, address, port};
}

export async function resumeGeneration(
  deps: ResumeDeps,
  id: RequestId,
  point: ResumePoint,
  sink: AnswerSink,
  callerLeft: AbortSignal,
): Promise<void> {
  const {generation} = point.place;
  const address = locate(deps.tables, point);
  deps.logger.info('route', {
    request: id,
    workspace: point.place.workspace,
    service: point.place.service,
    target: point.place.target,
    reason: 'resumed',
    runners_up: 'none',
    from_sequence: point.nextSequence,
  });
  if (address === undefined) {
    sink.fail(LOST);
    return;
  }
  sink.begin(point.place);
  const sequencer = createSequencer<string>(generation, point.nextSequence);
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    if (tries > 0) await delay(PAUSE_MS);
    const silenceMs = deps.timing.stream_silence_ms;
    const opened = await deps.targets.resume(
      address,
      generation,
      sequencer.nextSequence,
      silenceMs,
      callerLeft,
    );
    if (opened.isErr()) {
      if (opened.error.kind === 'failed') break;
      continue;
    }
    const end = await pump({
      body: opened.value.body,
      sequencer,
      forward: events => sink.forward(events),
      onDrain: resume => sink.onDrain(resume),
      silenceMs,
      callerLeft,
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
  sink.fail(LOST);
}
