/**
 * Types of the exchange of a request. `GatewayProtocol` is the adapter to the
 * protocol of callers and targets: it reads and writes headers only, and this
 * package makes every decision that depends on them.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {
  ConnectionGuard,
  InstanceId,
  Logger,
  RequestId,
  ServiceId,
  TargetId,
  WorkspaceId,
  ZoneId,
} from '@samphirefield/core';
import type {Demand, DispatchResult, RunOutcome} from '../dispatch/index.js';
import type {RelayObserver, RequestObserver} from '../metrics/index.js';
import type {KvCacheMover, ResumePoint} from '../moves/index.js';
import type {PlannedStop} from './planned-stop.js';
import type {RelayPeers} from './relay-peers.js';
import type {RunObserver} from './run-observer.js';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import type {HeadValues} from '@samphirefield/policy/statements';
import type {
  DurationSample,
  LoadFields,
} from '@samphirefield/policy/target-load';
import type {Quarantine} from '../quarantine/index.js';
import type {TargetRecord} from '../registry/index.js';
import type {GatewayView, RouteIndex} from '../routes/index.js';
import type {ResponseHead, UpstreamPool} from '../upstream/index.js';

/** What the gateway reads from the headers of a caller's request. */
export interface RequestMetadata {
  /** The id that the caller gave this attempt. */
  readonly attemptId: string | undefined;
  /** How long the caller waits, counted from the time it sent the request. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /**
   * The caller's estimate of the output tokens; accurate only at the median.
   */
  readonly hintedOutputTokens: number | undefined;
  /** The caller has the events of its stream up to this one. */
  readonly lastEventId: number | undefined;
  /**
   * Ids of the parts of the prompt that other requests may share, in order; the
   * part of the request's own is left out.
   */
  readonly sharedPromptParts: readonly string[];
}

/** What the gateway adds to a request that it forwards to a target. */
export interface ForwardMetadata {
  /**
   * The intended target; any other target at the address rejects the request.
   */
  readonly target: TargetId;
  readonly workspace: WorkspaceId | undefined;
  readonly remainingMs: number;
  /** Set when a generation resumes from a KV cache that was copied. */
  readonly resume: ResumePoint | undefined;
  /**
   * Id of the last event that the caller has; the target sends those after it.
   * Undefined: it sends all.
   */
  readonly lastEventId: number | undefined;
}

/** What the gateway reads from the head of a target's response. */
export interface ResponseMetadata {
  /** The caller's attempt that the response belongs to. */
  readonly attemptId: string | undefined;
  /** Whether the target states that it did not run the request. */
  readonly isNotRun: boolean;
  /**
   * Whether the address now belongs to another target than the intended one.
   */
  readonly isMisdirected: boolean;
  /** Whether the response carries the target's signature. */
  readonly isSigned: boolean;
  /** What the head says of the target itself. */
  readonly stated: HeadValues;
  /** Every load that the head states of the target. */
  readonly loads: readonly LoadFields[];
}

/** The adapter to the protocol that callers and targets use. */
export interface GatewayProtocol {
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  readResponse(head: ResponseHead): ResponseMetadata;
  /**
   * Whether a caller's header (name in lower case) is forwarded to the target.
   */
  isForwardedHeader(name: string): boolean;
  /** The headers that only the gateway may set; names and values alternate. */
  writeGatewayHeaders(metadata: ForwardMetadata): readonly string[];
}

/** Reserves capacity on targets; each demand gets exactly one result. */
export interface ReservationClient {
  reserve(demand: Demand): Promise<DispatchResult>;
  release(request: RequestId, service: ServiceId, outcome: RunOutcome): void;
  findTarget(id: TargetId): TargetRecord | undefined;
  /**
   * Calls the listener once when the target starts to drain, at once if it
   * already drains. Returns a function that unsubscribes the listener.
   */
  onDraining(id: TargetId, listener: () => void): () => void;
  /**
   * Resolves when the holder may move a run off the target. The permits of a
   * target are granted one after another.
   */
  acquireMovePermit(source: TargetId, holder: RequestId): Promise<void>;
  releaseMovePermit(source: TargetId, holder: RequestId): void;
}

/** Receives what targets state of themselves in their responses. */
export interface StatementListener {
  /** A response to a request that was sent at `sentAtMs` to this start. */
  hear(start: TargetStart, stated: HeadValues, sentAtMs: number): void;
  /** Whether this start said that it leaves. */
  hasLeft(start: TargetStart): boolean;
  /** Whether this start may get requests from this entry now. */
  mayUse(start: TargetStart): boolean;
  /** Targets that want nothing from this entry now. */
  pausedTargets(): readonly TargetId[];
  /** Time until one of these targets may be used again; undefined if unknown. */
  pauseLeftMs(targets: readonly TargetId[]): number | undefined;
}

/** Receives how busy and how fast targets are. */
export interface TargetLoadListener {
  /** A response of this start of a target of the service. */
  hearLoad(
    start: TargetStart,
    service: ServiceId,
    loads: readonly LoadFields[],
  ): void;
  /** How long work took on this start of a target. */
  measure(start: TargetStart, sample: DurationSample): void;
}

/** Which targets this process can reach, judged from its own connections. */
export interface TargetReachability {
  /** Targets of the service that cannot be reached at present. */
  unreachableTargets(service: ServiceId): readonly TargetId[];
  /** Whether no ready target of the service can be reached. */
  isCutOff(service: ServiceId): boolean;
  /** Whether open connections to the target are silent, too. */
  isLost(start: TargetStart): boolean;
  noteConnected(start: TargetStart): void;
  noteUnreachable(start: TargetStart, reason: string): void;
}

export interface RetryBudget {
  /** Counts the first attempt of a request. */
  recordRequest(service: ServiceId): void;
  /** Consumes one retry; returns false when the budget has none left. */
  tryConsume(service: ServiceId): boolean;
}

/** The configuration in effect and the lookups built from its route table. */
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
  readonly quarantine: Quarantine;
  readonly statements: StatementListener;
  readonly targetLoads: TargetLoadListener;
  /** Default: every target counts as reachable. */
  readonly reachability?: TargetReachability | undefined;
  /**
   * Whether this process has lost its links to targets, so that a target that
   * refuses connections need not have crashed. Default: it has not.
   */
  readonly hasLostLinks?:
    ((start: TargetStart) => Promise<boolean>) | undefined;
  /** Default: nothing is observed. */
  readonly runObserver?: RunObserver;
  /** Default: no request is relayed. */
  readonly relayPeers?: RelayPeers;
  readonly observeRelay?: RelayObserver;
  readonly pool: UpstreamPool;
  readonly mover: KvCacheMover;
  readonly logger: Logger;
  readonly observe: RequestObserver;
  /** Undefined until this process has received a first configuration. */
  readonly activeConfig: () => ActiveConfig | undefined;
  readonly nowMs: () => number;
  /** Counts what callers hold; without one nothing is limited. */
  readonly guard?: ConnectionGuard;
  /** Undefined unless this process was asked to stop. */
  readonly plannedStop: () => PlannedStop | undefined;
  /** A random number in [0, 1). */
  readonly random: () => number;
}

/**
 * A response of the gateway itself, with the reason why no target responded.
 */
export type LocalResponse =
  | {readonly kind: 'not_configured'}
  | {readonly kind: 'no_route'}
  | {readonly kind: 'unknown_key'}
  | {readonly kind: 'body_too_large'}
  /** The caller did not send its whole request in time; it has not run. */
  | {readonly kind: 'request_timeout'}
  /** The request did not run and will not run later. */
  | {
      readonly kind: 'not_run';
      readonly reason: string;
      /** When the caller may expect to be served; undefined if unknown. */
      readonly retryAfterMs?: number | undefined;
    }
  /** The request ran or may have run, and its response is lost. */
  | {readonly kind: 'outcome_unknown'; readonly reason: string}
  | {readonly kind: 'timed_out'};
