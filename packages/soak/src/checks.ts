/**
 * The promises of the system, judged only on what callers, targets and the
 * operator of a soak have seen. Bounds are those that the users state.
 */
import {
  findConfigFaults,
  findStaleCalls,
  type VersionReader,
} from './config-checks.js';
import {findUnservedCutOffs, isTouched} from './cut-off.js';
import {readEvents} from './streams.js';
import type {
  CallEnd,
  CallRecord,
  FaultRecord,
  RunRecord,
  SoakBounds,
  SoakRecords,
} from './types.js';

export interface Violation {
  readonly promise:
    | 'events_in_order'
    | 'runs_once'
    | 'refused_never_runs'
    | 'own_response'
    | 'nothing_unasked'
    | 'planned_work_cuts_nothing'
    | 'config_stays'
    | 'config_in_force'
    | 'recovers'
    | 'cut_off_is_served'
    | 'no_own_end';
  readonly detail: string;
  /** The request that shows it, where there is one. */
  readonly attempt?: string;
}

type Answered = Extract<CallEnd, {kind: 'answered'}>;

/** These statuses promise that the request did not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const MIN_SUCCESS = 200;
const MIN_REDIRECT = 300;
const MAX_STATUS = 599;
/** Of the calls after the recovery time this part is served at least. */
const SERVED_PART = 0.25;
/** Kept connections that may close without an answer in calm times. */
const MAX_CALM_CLOSES = 3;
/** A run that is at work in this last part of the grace period may be cut. */
const LAST_GRACE_PART = 1 / 6;
/** Requests up to this long after a stop request may be cut at its end. */
const EARLY_REQUEST_MS = 3_000;
/** A stop that overruns counts for this much longer than its grace period. */
const AFTER_GRACE_MS = 1_000;

const isSuccess = (status: number) =>
  status >= MIN_SUCCESS && status < MIN_REDIRECT;

function groupRuns(runs: readonly RunRecord[]) {
  const byAttempt = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const others = byAttempt.get(run.attempt);
    if (others) others.push(run);
    else byAttempt.set(run.attempt, [run]);
  }
  return byAttempt;
}

function findStreamFault({body, isComplete}: Answered): string | undefined {
  const {ids, generations, total, rest, hasOddEvent} = readEvents(body);
  if (hasOddEvent) return 'an event is damaged';
  if (generations.size > 1) return 'events of two generations are joined';
  const misplaced = ids.findIndex((id, i) => id !== i + 1);
  if (misplaced >= 0)
    return `event ${ids[misplaced]} in place of ${misplaced + 1}`;
  if (!isComplete) return undefined;
  if (rest !== '') return 'complete inside an event';
  if (ids.length === total) return undefined;
  return `complete after event ${ids.length} of ${total ?? 'any'}`;
}

/** Checks that a response is one that a run of this request has given. */
function findForeignPart(
  call: CallRecord,
  end: Answered,
  runs: readonly RunRecord[],
): string | undefined {
  const {status, signature, attempt, body, isComplete} = end;
  if (status < MIN_SUCCESS || status > MAX_STATUS) return `status ${status}`;
  if (attempt !== undefined && attempt !== call.attempt)
    return `it names ${attempt}`;
  if (signature === undefined)
    return isSuccess(status) ? 'a success without a signature' : undefined;
  const run = runs.find(other => other.signature === signature);
  if (run?.answer === undefined) return `no sound answer of ${signature}`;
  if (run.answer.status !== status)
    return `status ${status}, the target gave ${run.answer.status}`;
  if (call.requestKind === 'stream') {
    const {generations} = readEvents(body);
    const isOwn = [...generations].every(name => name === signature);
    return isOwn ? undefined : 'events of another request';
  }
  const isWhole = body === run.answer.body;
  const isPart = !isComplete && run.answer.body.startsWith(body);
  return isWhole || isPart ? undefined : `the body is ${body.slice(0, 80)}`;
}

function checkCall(call: CallRecord, runs: readonly RunRecord[]): Violation[] {
  const {attempt, requestKind, end} = call;
  const found: Violation[] = [];
  const add = (promise: Violation['promise'], detail: string) =>
    found.push({promise, attempt, detail});
  const hasRun = runs.length > 0;
  if (requestKind !== 'safe' && runs.length > 1)
    add('runs_once', `it ran ${runs.length} times`);
  if (runs.some(run => run.requestBody !== call.body))
    add('nothing_unasked', 'it ran with another body');
  if (end.kind === 'malformed') add('own_response', end.reason);
  if (end.kind !== 'answered') return found;
  if (requestKind !== 'safe' && hasRun && NOT_RUN_STATUSES.has(end.status))
    add('refused_never_runs', `status ${end.status}, and it has run`);
  const foreign = findForeignPart(call, end, runs);
  if (foreign !== undefined) add('own_response', foreign);
  const isStream = requestKind === 'stream' && isSuccess(end.status);
  const fault = isStream ? findStreamFault(end) : undefined;
  if (fault !== undefined) add('events_in_order', fault);
  return found;
}

const wasCut = ({end, hasLeft}: CallRecord): boolean =>
  !hasLeft &&
  (end.kind === 'closed' || (end.kind === 'answered' && !end.isComplete));

/** Whether no unplanned fault touches the call or the time before it. */
function isCalm(
  call: CallRecord,
  faults: readonly FaultRecord[],
  {contactMs}: SoakBounds,
): boolean {
  return !faults.some(
    fault => !fault.isPlanned && isTouched(call, fault, contactMs),
  );
}

/** Whether this planned work binds the entry to answer the call. */
function isCovered(
  call: CallRecord,
  work: FaultRecord,
  {graceMs, configMs}: SoakBounds,
): boolean {
  if (work.entry !== call.entry) return false;
  const sinceMs = call.sentAtMs - work.fromMs;
  if (work.kind === 'reload')
    return sinceMs <= configMs && call.endedAtMs >= work.fromMs;
  const endsAtMs = work.fromMs + graceMs + AFTER_GRACE_MS;
  return call.endedAtMs >= work.fromMs && call.sentAtMs <= endsAtMs;
}

/** Whether a stop may cut the run: it is at work at the end of the grace. */
function isLateRun(
  call: CallRecord,
  work: FaultRecord,
  runs: readonly RunRecord[],
  {graceMs}: SoakBounds,
): boolean {
  const lastPartAtMs = work.fromMs + graceMs * (1 - LAST_GRACE_PART);
  return (
    call.sentAtMs <= work.fromMs + EARLY_REQUEST_MS &&
    runs.some(({endedAtMs = Infinity}) => endedAtMs >= lastPartAtMs)
  );
}

function findPlannedCut(
  call: CallRecord,
  runs: readonly RunRecord[],
  works: readonly FaultRecord[],
  bounds: SoakBounds,
): Violation | undefined {
  const {attempt, end, sentAtMs, endedAtMs, deadlineMs} = call;
  if (!wasCut(call) || endedAtMs - sentAtMs >= deadlineMs) return undefined;
  if (runs.some(run => run.end === 'target')) return undefined;
  const isReadAndClosed =
    end.kind === 'closed' &&
    end.isConnected &&
    !end.isReset &&
    endedAtMs - sentAtMs > bounds.lossSlackMs;
  if (runs.length === 0 && !isReadAndClosed) return undefined;
  const covering = works.filter(item => isCovered(call, item, bounds));
  const isLate = covering.some(
    item => item.kind !== 'reload' && isLateRun(call, item, runs, bounds),
  );
  const work = isLate ? undefined : covering.at(0);
  if (work === undefined) return undefined;
  const detail = `cut after ${Math.round(endedAtMs - sentAtMs)} ms by ${work.name}`;
  return {promise: 'planned_work_cuts_nothing', attempt, detail};
}

function checkPlannedWork(
  records: SoakRecords,
  byAttempt: ReadonlyMap<string, readonly RunRecord[]>,
  bounds: SoakBounds,
): Violation[] {
  const {calls, faults} = records;
  const works = faults.filter(
    ({isPlanned, entry}) => isPlanned && entry !== undefined,
  );
  const calm = calls.filter(call => isCalm(call, faults, bounds));
  const cuts = calm.flatMap(call => {
    const runs = byAttempt.get(call.attempt) ?? [];
    return findPlannedCut(call, runs, works, bounds) ?? [];
  });
  const closes = calm.filter(
    call =>
      wasCut(call) &&
      byAttempt.get(call.attempt)?.some(run => run.end === 'whole'),
  );
  if (closes.length <= MAX_CALM_CLOSES) return cuts;
  const names = closes.map(({attempt}) => attempt).join(' ');
  const detail = `closed without an answer in calm times: ${names}`;
  return [...cuts, {promise: 'planned_work_cuts_nothing', detail}];
}

function checkRecovery({recovery, ownEnds}: SoakRecords): Violation[] {
  const {served, calls} = recovery;
  const ends = ownEnds.map(detail => ({
    promise: 'no_own_end' as const,
    detail,
  }));
  if (served >= calls * SERVED_PART) return ends;
  const detail = `${served} of ${calls} served after the recovery time`;
  return [...ends, {promise: 'recovers', detail}];
}

/** Every promise that the records show to be broken. */
export function findViolations(
  records: SoakRecords,
  versionOf: VersionReader,
  bounds: SoakBounds,
): readonly Violation[] {
  const byAttempt = groupRuns(records.runs);
  const known = new Set(records.calls.map(({attempt}) => attempt));
  const unasked = [...byAttempt.keys()]
    .filter(attempt => !known.has(attempt))
    .map(attempt => ({
      promise: 'nothing_unasked' as const,
      attempt,
      detail: 'no caller sent it',
    }));
  return [
    ...records.calls.flatMap(call =>
      checkCall(call, byAttempt.get(call.attempt) ?? []),
    ),
    ...unasked,
    ...checkPlannedWork(records, byAttempt, bounds),
    ...findConfigFaults(records, versionOf, bounds).map(detail => ({
      promise: 'config_stays' as const,
      detail,
    })),
    ...findStaleCalls(records, bounds).map(stale => ({
      promise: 'config_in_force' as const,
      ...stale,
    })),
    ...checkRecovery(records),
    ...findUnservedCutOffs(records, bounds).map(detail => ({
      promise: 'cut_off_is_served' as const,
      detail,
    })),
  ];
}
