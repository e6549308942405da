/** Reservations of targets and the demands that request them. */
import {randomUUID} from 'node:crypto';
import {
  requestId,
  type RequestId,
  type ServiceId,
  type TargetId,
  type WorkspaceId,
  type ZoneId,
} from '@samphirefield/core';
import {
  moveDemand,
  resumeDemand,
  startDemand,
  type Demand,
} from '../dispatch/index.js';
import type {TargetEndpoint} from '../moves/index.js';
import type {Route} from '../routes/index.js';
import type {QuarantineGuard} from './quarantine-guard.js';
import type {
  GatewayDependencies,
  ReservationClient,
  RequestMetadata,
} from './types.js';

const PROCESS_TAG_LENGTH = 6;
const PROCESS_TAG = randomUUID().slice(0, PROCESS_TAG_LENGTH);
let runCounter = 0;

/**
 * Returns an id for a run or a move permit that is unique among all instances
 * and all starts of this process.
 */
export function newRunId(deps: GatewayDependencies): RequestId {
  runCounter += 1;
  return requestId(`${deps.instance}/${PROCESS_TAG}/${runCounter}`);
}

/** A request whose route and workspace were found, with its complete body. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly service: ServiceId;
  readonly workspace: WorkspaceId | undefined;
  readonly priority: number;
  readonly body: Buffer;
  readonly quarantine: QuarantineGuard;
}

/** A reserved target and the run that holds the reservation. */
export interface Reservation extends TargetEndpoint {
  readonly run: RequestId;
  /** Start of the target when the request was sent to it; 0 if unknown. */
  readonly bornMs: number;
}

/** Undefined when the target is not registered any more. */
export function findEndpoint(
  reservations: ReservationClient,
  target: TargetId,
): TargetEndpoint | undefined {
  const record = reservations.findTarget(target);
  if (record === undefined) return undefined;
  const {host, port} = record.announcement;
  return {target, address: {host, port}};
}

/** Undefined when the target is not registered any more. */
export function reservationOn(
  reservations: ReservationClient,
  target: TargetId,
  run: RequestId,
): Reservation | undefined {
  const endpoint = findEndpoint(reservations, target);
  const bornMs = reservations.findTarget(target)?.announcement.bornMs ?? 0;
  return endpoint && {...endpoint, run, bornMs};
}

/** How far a resumable stream has come. */
export interface StreamProgress {
  /** Whether the caller has a part of its response. */
  readonly hasStarted: boolean;
  /** Number of the last event that the caller has; 0 before the first. */
  readonly lastEventId: number;
}

/** The fields that the demands of one request have in common. */
function requesterOf(
  {instance: entry}: GatewayDependencies,
  {route, service, priority, workspace}: AdmittedRequest,
  run: RequestId,
  excluded: readonly TargetId[],
  zone: ZoneId,
) {
  return {
    request: run,
    service,
    entry,
    zone,
    priority,
    workspace,
    excluded,
    route: route.name,
  };
}

/** Builds the demand for a target on which a request starts or resumes. */
export function buildStartDemand(
  deps: GatewayDependencies,
  admitted: AdmittedRequest,
  metadata: RequestMetadata,
  run: RequestId,
  excluded: readonly TargetId[],
  remainingMs: number,
  {hasStarted, lastEventId}: StreamProgress,
): Demand {
  const demand = startDemand(
    requesterOf(deps, admitted, run, excluded, deps.zone),
    metadata,
    admitted.route.objectiveMs,
    remainingMs,
  );
  if (lastEventId === 0 && !hasStarted) return demand;
  const {routeIndex} = deps.activeConfig() ?? {};
  const service = routeIndex?.findService(admitted.service);
  const {tokensPerEvent = 0} = service?.engine ?? {};
  const sentTokens = lastEventId * tokensPerEvent;
  return resumeDemand(demand, metadata, sentTokens, hasStarted);
}

/**
 * Builds the demand for a target to which a running generation moves. The first
 * excluded target is the source.
 */
export function buildMoveDemand(
  deps: GatewayDependencies,
  admitted: AdmittedRequest,
  metadata: RequestMetadata,
  run: RequestId,
  excluded: readonly TargetId[],
  ranForMs: number,
): Demand {
  const [source] = excluded;
  const record = source && deps.reservations.findTarget(source);
  const zone = record ? record.announcement.zone : deps.zone;
  return moveDemand(
    requesterOf(deps, admitted, run, excluded, zone),
    metadata,
    ranForMs,
  );
}
