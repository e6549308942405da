/**
 * Judges configurations: an accepted one is read back, never reverts, and is what
 * entries obey once the stated time has passed.
 */
import {isTouched} from './cut-off.js';
import type {
  CallRecord,
  ConfigRecord,
  RunRecord,
  SoakBounds,
  SoakDialect,
  SoakRecords,
} from './types.js';

export type VersionReader = SoakDialect['versionOf'];

/** A call that was handled by a configuration older than an accepted one. */
export interface StaleCall {
  readonly attempt: string;
  readonly detail: string;
}

/** Refusals of a route or a key that the entry does not know. */
const UNKNOWN_STATUSES: ReadonlySet<number> = new Set([401, 403, 404]);

/** The highest version that was accepted before this time; 0: none. */
function acceptedBefore(
  configs: readonly ConfigRecord[],
  timeMs: number,
): number {
  const accepted = configs
    .filter(
      ({acceptedAtMs}) => acceptedAtMs !== undefined && acceptedAtMs < timeMs,
    )
    .map(({version}) => version);
  return Math.max(0, ...accepted);
}

/** What shows that a configuration was lost, changed or reverted. */
export function findConfigFaults(
  {configs, reads}: SoakRecords,
  versionOf: VersionReader,
  {configMs}: SoakBounds,
): readonly string[] {
  const found: string[] = [];
  for (const {text, sentAtMs, isFinal} of reads) {
    if (text === undefined) continue;
    const version = versionOf(text);
    const boundMs = isFinal ? sentAtMs : sentAtMs - configMs;
    const accepted = acceptedBefore(configs, boundMs);
    if (version < accepted)
      found.push(`read version ${version}, version ${accepted} was accepted`);
    const sent = configs.find(config => config.version === version);
    if (sent?.text !== text)
      found.push(`version ${version} is not what was sent`);
  }
  const isReadBack = reads.some(
    ({isFinal, text}) => isFinal && text !== undefined,
  );
  if (!isReadBack) found.push('no configuration at the end');
  return found;
}

function findStale(
  call: CallRecord,
  runs: readonly RunRecord[],
  configs: readonly ConfigRecord[],
  configMs: number,
): string | undefined {
  const {requestKind, sentAtMs, end, spareRoute = -1} = call;
  const accepted = acceptedBefore(configs, sentAtMs - configMs);
  if (accepted === 0) return undefined;
  const {status, signature} =
    end.kind === 'answered' ? end : {status: 0, signature: 'none'};
  const allowed = configs.filter(({version}) => version >= accepted);
  const isKnown = allowed.every(({spareRoutes}) => spareRoutes > spareRoute);
  if (isKnown && signature === undefined && UNKNOWN_STATUSES.has(status))
    return `refused with ${status}, version ${accepted} was accepted`;
  if (requestKind === 'stream') return undefined;
  const services = new Set(allowed.map(({plainService}) => plainService));
  const odd = runs.find(({service}) => !services.has(service));
  return odd && `run by ${odd.service}, version ${accepted} was accepted`;
}

/**
 * Calls sent later than the stated time after a version was accepted that only an
 * older one allows. Calls at entries that a fault disrupts are left out.
 */
export function findStaleCalls(
  {calls, runs, configs, faults}: SoakRecords,
  {configMs, contactMs}: SoakBounds,
): readonly StaleCall[] {
  const runsOf = new Map<string, RunRecord[]>();
  for (const run of runs)
    runsOf.set(run.attempt, [...(runsOf.get(run.attempt) ?? []), run]);
  const isDisrupted = (call: CallRecord) =>
    faults.some(
      fault =>
        !fault.isPlanned &&
        fault.disrupted.includes(call.entry) &&
        isTouched(call, fault, contactMs),
    );
  return calls.flatMap(call => {
    const own = runsOf.get(call.attempt) ?? [];
    const detail = findStale(call, own, configs, configMs);
    if (detail === undefined || isDisrupted(call)) return [];
    return [{attempt: call.attempt, detail}];
  });
}
