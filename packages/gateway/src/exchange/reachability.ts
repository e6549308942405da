/**
 * Tells the judge of reachability how connections to targets fare, and keeps
 * new requests from targets that cannot be reached.
 */
import type {ServiceId, TargetId} from '@samphirefield/core';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import type {ConnectOutcome} from '../upstream/index.js';
import type {GatewayDependencies} from './types.js';

/** A shorter attempt to connect that fails in time proves nothing. */
export const CONNECT_TIMEOUT_MS = 400;

/** Notes how an attempt to connect to a start of a target ended. */
export function noteConnect(
  {reachability}: GatewayDependencies,
  start: TargetStart,
  outcome: ConnectOutcome,
  timeoutMs: number,
): void {
  switch (outcome) {
    case 'connected':
      reachability?.noteConnected(start);
      return;
    case 'refused':
      reachability?.noteUnreachable(start, outcome);
      return;
    case 'timeout': {
      const isProof = timeoutMs >= CONNECT_TIMEOUT_MS;
      reachability?.noteUnreachable(start, isProof ? outcome : 'silent');
      return;
    }
    case 'local_failure':
      return;
  }
}

/**
 * Targets of the service that new requests avoid; none if that would leave no
 * target.
 */
export function targetsToAvoid(
  {reachability}: GatewayDependencies,
  service: ServiceId,
): readonly TargetId[] {
  const unreachable = reachability?.unreachableTargets(service) ?? [];
  if (unreachable.length === 0 || reachability?.isCutOff(service)) return [];
  return unreachable;
}
