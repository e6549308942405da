/**
 * What the gateway has to know of the protocol that callers and targets speak.
 * An adapter supplies it; every decision on these facts is made here.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {
  InstanceId,
  Logger,
  RequestId,
  ServiceId,
  TargetId,
  WorkspaceId,
  ZoneId,
} from '@samphirefield/core';
import type {Demand, DispatchResult, RunOutcome} from '../dispatch/index.js';
import type {RequestObserver} from '../metrics/index.js';
import type {KvCacheMover, ResumePoint} from '../moves/index.js';
import type {TargetRecord} from '../registry/index.js';
import type {GatewayView, RouteIndex} from '../routes/index.js';
import type {ResponseHead, UpstreamPool} from '../upstream/index.js';

/** What a request's headers say. */
export interface RequestMetadata {
  /** The caller's own id of this attempt. */
  readonly attemptId: string | undefined;
  /** How long the caller waits, counted from when it sent the request. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's guess of the output; right at the median only. */
  readonly hintedOutputTokens: number | undefined;
}

/** What the gateway tells a target about a request. */
export interface ForwardMetadata {
  /** Any other target at the address refuses the request. */
  readonly target: TargetId;
  readonly workspace: WorkspaceId | undefined;
  readonly remainingMs: number;
  /** Set when a generation goes on from memory that was moved. */
  readonly resume: ResumePoint | undefined;
  /** The last event that the caller has; undefined before the first. */
  readonly lastEventId: number | undefined;
}

/** What the head of a target's answer says. */
export interface ResponseMetadata {
  /** The attempt that it answers. */
  readonly attemptId: string | undefined;
  /** The target's word that the request did not run. */
  readonly isNotRun: boolean;
  /** Another target has the address. */
  readonly isMisdirected: boolean;
  /** Whether the target signed it as its own answer. */
  readonly isSigned: boolean;
}

export interface GatewayProtocol {
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  readResponse(head: ResponseHead): ResponseMetadata;
  /** Whether a caller's header, in lower case, goes on to the target. */
  isForwardedHeader(name: string): boolean;
  /** The headers that only the gateway may set; names and values by turns. */
  writeGatewayHeaders(facts: ForwardMetadata): readonly string[];
}

/** Finds places on targets; answers once for each demand. */
export interface ReservationClient {
  reserve(demand: Demand): Promise<DispatchResult>;
  release(request: RequestId, service: ServiceId, outcome: RunOutcome): void;
  findTarget(id: TargetId): TargetRecord | undefined;
  /** Calls back once when the target begins to leave; returns the way out. */
  onDraining(id: TargetId, listener: () => void): () => void;
  /** Resolves when a run may be moved off the target, one after the other. */
  acquireMovePermit(source: TargetId, holder: RequestId): Promise<void>;
  releaseMovePermit(source: TargetId, holder: RequestId): void;
}

export interface RetryBudget {
  /** Counts the first sending of a request. */
  recordRequest(service: ServiceId): void;
  /** Takes leave to send a request once more. */
  tryConsume(service: ServiceId): boolean;
}

export interface ActiveConfig {
  readonly view: GatewayView;
  readonly routeIndex: RouteIndex;
}

export interface GatewayDependencies {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly protocol: GatewayProtocol;
  readonly reservations: ReservationClient;
  readonly budget: RetryBudget;
  readonly pool: UpstreamPool;
  readonly mover: KvCacheMover;
  readonly logger: Logger;
  readonly observe: RequestObserver;
  /** Undefined until the first configuration was learned. */
  readonly activeConfig: () => ActiveConfig | undefined;
  readonly nowMs: () => number;
  /** When this process ends, once it was asked to stop. */
  readonly stopsAtMs: () => number | undefined;
  /** In [0, 1). */
  readonly random: () => number;
}

/** The gateway's own answers: why a request has no answer of a target. */
export type LocalResponse =
  | {readonly kind: 'not_configured'}
  | {readonly kind: 'no_route'}
  | {readonly kind: 'unknown_key'}
  | {readonly kind: 'body_too_large'}
  /** Not run, and it never will. */
  | {readonly kind: 'not_run'; readonly reason: string}
  /** It may have run, or did, and its answer is lost. */
  | {readonly kind: 'outcome_unknown'; readonly reason: string}
  | {readonly kind: 'timed_out'};
