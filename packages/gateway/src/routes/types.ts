/**
 * The route configuration: which service handles which host and path, which
 * requests may be repeated, and which workspace a key belongs to.
 */
import type {ServiceId, WorkspaceId, ZoneId} from '@samphirefield/core';

/**
 * How often a request may run: `safe` requests any number of times, `unsafe`
 * requests at most once, streams at most once unless their route is resumable.
 */
export type RequestKind = 'safe' | 'unsafe' | 'stream';

export interface KindTraits {
  /**
   * Whether every request of the kind that may have run can be sent to another
   * target; see {@link mayRepeat} for a route.
   */
  readonly mayRepeat: boolean;
  /** Whether the response is forwarded event by event. */
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
  /** The longest time that a caller may wait for its final response. */
  readonly timeoutMs: number;
  /**
   * The time within which a response (or a stream's first event) is on time.
   */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** How many targets may run one request, including the first. */
  readonly maxRuns: number;
  /** Whether callers need no API key. */
  readonly isPublic: boolean;
  /** The longest pause between two events of a stream that is on time. */
  readonly eventGapMs: number;
  /**
   * Whether a target can send a stream's events after a given one, so that the
   * stream may run again. Only routes of kind `stream`.
   */
  readonly isResumable: boolean;
}

/** Whether a request that may have run can be sent to another target. */
export function mayRepeat({
  kind,
  isResumable,
}: Pick<Route, 'kind' | 'isResumable'>): boolean {
  return KIND_TRAITS[kind].mayRepeat || isResumable;
}

/** The engines behind a service of model targets. */
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
  /** Requests per second that one cold target accepts; 0: never cold. */
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
  /**
   * Overrides the route's priority; undefined: the route's priority applies.
   */
  readonly priority: number | undefined;
}

export interface RouteTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  readonly workspaces: readonly WorkspaceSpec[];
}

/** The configuration in effect: the table and the zones without new work. */
export interface GatewayView {
  /** Increases with each change of the table or the zones. */
  readonly index: number;
  readonly table: RouteTable;
  /** Zones that get no new work. */
  readonly zonesOut: ReadonlySet<ZoneId>;
}
