/**
 * The route configuration: which service answers which host and path, what may
 * be repeated, and which workspace a key belongs to.
 */
import type {ServiceId, WorkspaceId, ZoneId} from '@samphirefield/core';

/**
 * What a request may bear. `safe` requests may run any number of times,
 * `unsafe` ones and streams at most once.
 */
export type RequestKind = 'safe' | 'unsafe' | 'stream';

export interface KindTraits {
  /** Whether a request that may have run can be sent to another target. */
  readonly mayRepeat: boolean;
  /** Whether the answer is passed on event by event. */
  readonly isStreamed: boolean;
}

export const KIND_TRAITS: Readonly<Record<RequestKind, KindTraits>> = {
  safe: {mayRepeat: true, isStreamed: false},
  unsafe: {mayRepeat: false, isStreamed: false},
  stream: {mayRepeat: false, isStreamed: true},
};

export interface WeightedService {
  readonly service: ServiceId;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** The longest time a caller may be kept without a final answer. */
  readonly timeoutMs: number;
  /** Up to here an answer (or the first event of a stream) is on time. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Targets that may run one request, the first included. */
  readonly maxRuns: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** The longest pause between two events of a stream that is on time. */
  readonly eventGapMs: number;
}

/** What is known of the engines behind a service of model targets. */
export interface EngineSpec {
  readonly slots: number;
  readonly kvTokens: number;
  readonly bytesPerKvToken: number;
  readonly linkMbps: number;
  /** Whether a running generation can be moved to another target. */
  readonly canMove: boolean;
  readonly tokensPerEvent: number;
}

export interface ServiceSpec {
  readonly name: ServiceId;
  readonly healthPath: string;
  readonly maxConnections: number;
  /** Requests per second that one cold target bears; 0: never cold. */
  readonly coldRequestsPerS: number;
  readonly engine: EngineSpec | undefined;
}

export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface WorkspaceSpec {
  readonly name: WorkspaceId;
  readonly keys: readonly string[];
  /** Goes before the route's priority; undefined: the route's counts. */
  readonly priority: number | undefined;
}

export interface RouteTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  readonly workspaces: readonly WorkspaceSpec[];
}

/** What is in force: the table, and the zones that get no new work. */
export interface GatewayView {
  /** Grows with each change, however small. */
  readonly index: number;
  readonly table: RouteTable;
  readonly zonesOut: ReadonlySet<ZoneId>;
}
