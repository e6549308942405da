/**
 * Watches a request for a target that sends nothing: suspects the target, and
 * breaks the attempt off once its connections prove silent, if the request may
 * run again. A silence alone ends no attempt.
 */
import {mayRepeat} from '../routes/index.js';
import type {AdmittedRequest, Reservation} from './reservation.js';
import type {TargetAttempt} from './target-attempt.js';
import type {GatewayDependencies} from './types.js';

const SILENT_MIN_MS = 250;
const FIRST_REPEAT_MS = 500;
const MAX_REPEAT_MS = 2_000;

export function watchSilence(
  deps: GatewayDependencies,
  {route}: AdmittedRequest,
  {target, bornMs, address}: Reservation,
  attempt: TargetAttempt,
): void {
  const {reachability, pool} = deps;
  if (reachability === undefined) return;
  const silentAfterMs = Math.max(SILENT_MIN_MS, route.objectiveMs);
  const startedAtMs = performance.now();
  let repeatMs = FIRST_REPEAT_MS;
  let timer: NodeJS.Timeout;
  const check = () => {
    const {lastReceivedAtMs = startedAtMs} = pool.keptConnections(address);
    const heardAtMs = Math.max(startedAtMs, lastReceivedAtMs);
    const silentMs = performance.now() - heardAtMs;
    if (silentMs >= silentAfterMs) onSilent();
    else watchFor(silentAfterMs - silentMs);
  };
  const onSilent = () => {
    const isLost = reachability.isLost({target, bornMs});
    if (isLost && mayRepeat(route) && !attempt.hasStarted()) {
      attempt.breakOff('the target cannot be reached');
      return;
    }
    reachability.noteUnreachable({target, bornMs}, 'silent');
    watchFor(repeatMs);
    repeatMs = Math.min(repeatMs * 2, MAX_REPEAT_MS);
  };
  const watchFor = (ms: number) => {
    timer = setTimeout(check, ms);
  };
  watchFor(silentAfterMs);
  void attempt.result.then(() => clearTimeout(timer));
}
