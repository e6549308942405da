/**
 * Judges whether entries that reach no target serve their callers, as they can
 * through other entries.
 */
import type {
  CallRecord,
  FaultRecord,
  SoakBounds,
  SoakRecords,
} from './types.js';

const OK_STATUS = 200;
/** Entries that are cut off serve at least this part of what others serve. */
const SERVED_RATIO = 2 / 3;
/** So many calls, and this part of all, may fail at entries that are cut off. */
const SPARE_FAILURES = 10;
const SPARE_PART = 1 / 50;

export interface ServedCount {
  readonly served: number;
  readonly calls: number;
}

export const wasServed = ({end}: CallRecord): boolean =>
  end.kind === 'answered' && end.status === OK_STATUS && end.isComplete;

/** Whether the fault was there during the call or in the time before it. */
export function isTouched(
  call: CallRecord,
  {fromMs, untilMs}: FaultRecord,
  contactMs: number,
): boolean {
  return fromMs <= call.endedAtMs && untilMs >= call.sentAtMs - contactMs;
}

function countServed(calls: readonly CallRecord[]): ServedCount {
  return {served: calls.filter(wasServed).length, calls: calls.length};
}

/** Calls while one fault cuts entries off from all targets. */
export interface CutOffCount {
  readonly fault: string;
  readonly cutOff: ServedCount;
  /** At entries that are not cut off. */
  readonly others: ServedCount;
}

/**
 * Counts the calls that were sent while this fault had cut entries off for the
 * contact time and another, undisturbed entry was there. Calls at entries that
 * another fault disrupts are left out.
 */
function countDuring(
  cut: FaultRecord,
  {calls, faults}: SoakRecords,
  contactMs: number,
): CutOffCount {
  const entries = new Set(calls.map(({entry}) => entry));
  const otherFaults = faults.filter(fault => fault !== cut);
  const cutOff: CallRecord[] = [];
  const others: CallRecord[] = [];
  for (const call of calls) {
    const {entry, sentAtMs, hasLeft} = call;
    const isEarly = sentAtMs < cut.fromMs + contactMs;
    if (isEarly || sentAtMs > cut.untilMs || hasLeft) continue;
    const disrupted = new Set(
      otherFaults
        .filter(fault => isTouched(call, fault, contactMs))
        .flatMap(fault => fault.disrupted),
    );
    const hasPeer = [...entries].some(
      other => !cut.cutOff.includes(other) && !disrupted.has(other),
    );
    if (!hasPeer || disrupted.has(entry)) continue;
    (cut.cutOff.includes(entry) ? cutOff : others).push(call);
  }
  const counts = {cutOff: countServed(cutOff), others: countServed(others)};
  return {fault: cut.name, ...counts};
}

export function countCutOffs(
  records: SoakRecords,
  {contactMs}: SoakBounds,
): readonly CutOffCount[] {
  return records.faults
    .filter(fault => fault.cutOff.length > 0)
    .map(fault => countDuring(fault, records, contactMs));
}

/** What shows that entries that were cut off did not serve, for each fault. */
export function findUnservedCutOffs(
  records: SoakRecords,
  bounds: SoakBounds,
): readonly string[] {
  const spareFailures = SPARE_FAILURES + records.calls.length * SPARE_PART;
  return countCutOffs(records, bounds)
    .filter(
      ({cutOff, others}) =>
        cutOff.calls - cutOff.served > spareFailures &&
        cutOff.served * others.calls <
          others.served * cutOff.calls * SERVED_RATIO,
    )
    .map(
      ({fault, cutOff, others}) =>
        `${cutOff.served} of ${cutOff.calls} served at entries that were cut off, ${others.served} of ${others.calls} at others: ${fault}`,
    );
}
