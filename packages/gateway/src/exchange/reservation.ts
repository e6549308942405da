/** Reservations of targets and the demands that request them. */
import {randomUUID} from 'node:crypto';
import {
  requestId,
  type RequestId,
  type ServiceId,
  type TargetId,
  type WorkspaceId,
} from '@samphirefield/core';
import type {Demand} from '../dispatch/index.js';
import type {TargetEndpoint} from '../moves/index.js';
import type {Route} from '../routes/index.js';
import type {
  GatewayDependencies,
  ReservationClient,
  RequestMetadata,
} from './types.js';

const PROCESS_TAG_LENGTH = 6;
/** Expected output as a share of the request's maximum, if it has no hint. */
const EXPECTED_OUTPUT_SHARE = 0.6;
/** Share of its output that a generation holds on average while it runs. */
const AVERAGE_HELD_OUTPUT_SHARE = 0.5;
/** Share of the objective that a request waits before it uses a full target. */
const SOFT_WAIT_SHARE = 0.3;
/** Share of the objective that a request waits while no target is usable. */
const NO_TARGET_WAIT_SHARE = 0.5;
/** Share of the remaining time that a request waits for any reservation. */
const MAX_WAIT_SHARE = 0.6;
/**
 * A target in another availability zone is chosen only if its load is lower by
 * this share of its capacity.
 */
const OTHER_ZONE_PENALTY = 0.06;
/**
 * The same for moves. Copying a KV cache to another zone takes twice as long
 * and uses a link that other traffic needs.
 */
const MOVE_ZONE_PENALTY = 0.5;

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
}

/** A reserved target and the run that holds the reservation. */
export interface Reservation extends TargetEndpoint {
  readonly run: RequestId;
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

function expectedKvTokens(metadata: RequestMetadata): number {
  const {promptTokens, maxOutputTokens, hintedOutputTokens} = metadata;
  const outputTokens =
    hintedOutputTokens ?? maxOutputTokens * EXPECTED_OUTPUT_SHARE;
  return promptTokens + outputTokens * AVERAGE_HELD_OUTPUT_SHARE;
}

/** Builds the demand for a target on which a request starts. */
export function buildStartDemand(
  deps: GatewayDependencies,
  admitted: AdmittedRequest,
  metadata: RequestMetadata,
  run: RequestId,
  excluded: readonly TargetId[],
  remainingMs: number,
): Demand {
  const {objectiveMs} = admitted.route;
  return {
    request: run,
    service: admitted.service,
    entry: deps.instance,
    zone: deps.zone,
    otherZonePenalty: OTHER_ZONE_PENALTY,
    kvTokens: expectedKvTokens(metadata),
    prefillTokens: metadata.promptTokens,
    priority: admitted.priority,
    patienceMs: objectiveMs * SOFT_WAIT_SHARE,
    noTargetWaitMs: objectiveMs * NO_TARGET_WAIT_SHARE,
    maxWaitMs: Math.max(0, remainingMs) * MAX_WAIT_SHARE,
    excluded,
  };
}

/**
 * Builds the demand for a target to which a running generation moves. The
 * demand is granted at once or refused. The first excluded target is the
 * source.
 */
export function buildMoveDemand(
  deps: GatewayDependencies,
  admitted: AdmittedRequest,
  metadata: RequestMetadata,
  run: RequestId,
  excluded: readonly TargetId[],
): Demand {
  const [source] = excluded;
  const record = source && deps.reservations.findTarget(source);
  return {
    request: run,
    service: admitted.service,
    entry: deps.instance,
    zone: record ? record.announcement.zone : deps.zone,
    otherZonePenalty: MOVE_ZONE_PENALTY,
    kvTokens: expectedKvTokens(metadata),
    prefillTokens: 0,
    priority: admitted.priority,
    patienceMs: 0,
    noTargetWaitMs: 0,
    maxWaitMs: 0,
    excluded,
  };
}
