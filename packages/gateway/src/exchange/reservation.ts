/** Where a request runs, and the demands by which it gets there. */
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
/** Expected output as a share of the stated maximum, without a hint. */
const EXPECTED_OUTPUT_SHARE = 0.6;
/** Of a generation's output, what it holds on average while it runs. */
const AVERAGE_HELD_OUTPUT_SHARE = 0.5;
/** Share of the objective that a request waits for a place that fits it. */
const SOFT_WAIT_SHARE = 0.3;
/** Share of the objective that a request waits while no target is there. */
const NO_TARGET_WAIT_SHARE = 0.5;
/** Share of the time left that a request waits for any place. */
const MAX_WAIT_SHARE = 0.6;
/** How much emptier a target in another availability zone has to be. */
const OTHER_ZONE_PENALTY = 0.06;
/** Memory takes twice as long to another zone, on a link that others need. */
const MOVE_ZONE_PENALTY = 0.5;

const PROCESS_TAG = randomUUID().slice(0, PROCESS_TAG_LENGTH);
let runCounter = 0;

/** A name for one run, or one turn: no other process or start uses it. */
export function newRunId(deps: GatewayDependencies): RequestId {
  runCounter += 1;
  return requestId(`${deps.instance}/${PROCESS_TAG}/${runCounter}`);
}

/** A request whose route and workspace are known, with its whole body. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly service: ServiceId;
  readonly workspace: WorkspaceId | undefined;
  readonly priority: number;
  readonly body: Buffer;
}

export interface Reservation extends TargetEndpoint {
  readonly run: RequestId;
}

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

/** Asks for a place to start a request. */
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

/** Asks for a place to move a running generation to, at once or not at all. */
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
