/**
 * What a soak records at its own callers, targets and operator, and the dialect
 * in which the programs under test are spoken to.
 */
import type {IncomingHttpHeaders} from 'node:http';

export interface Address {
  readonly host: string;
  readonly port: number;
}

export const REQUEST_KINDS = ['safe', 'unsafe', 'stream'] as const;
export type RequestKind = (typeof REQUEST_KINDS)[number];

/** How a call ended for its caller. */
export type CallEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly signature: string | undefined;
      /** The attempt that the response names. */
      readonly attempt: string | undefined;
      readonly body: string;
      readonly isComplete: boolean;
    }
  /** The connection ended without a response. */
  | {
      readonly kind: 'closed';
      readonly isReset: boolean;
      readonly isConnected: boolean;
    }
  /** The caller received bytes that are no response. */
  | {readonly kind: 'malformed'; readonly reason: string};

export interface CallRecord {
  readonly attempt: string;
  readonly requestKind: RequestKind;
  readonly entry: number;
  readonly body: string;
  readonly deadlineMs: number;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Whether the caller left before the end. */
  readonly hasLeft: boolean;
  /** Position of the spare route that was called; undefined: none. */
  readonly spareRoute?: number | undefined;
  readonly end: CallEnd;
}

/** Why a run stopped: it was whole, the target or its connection ended it. */
export type RunEnd = 'running' | 'whole' | 'target' | 'connection';

/** One run of a request; a stream that is moved goes on in the same run. */
export interface RunRecord {
  readonly attempt: string;
  readonly target: string;
  readonly service: string;
  /** Unique for each run. */
  readonly signature: string;
  readonly requestBody: string;
  readonly startedAtMs: number;
  /** The sound response; undefined: the target sent something else. */
  answer: {readonly status: number; readonly body: string} | undefined;
  end: RunEnd;
  endedAtMs: number | undefined;
}

export interface ConfigRecord {
  readonly version: number;
  readonly text: string;
  /** Where it sends requests that are no streams. */
  readonly plainService: string;
  readonly spareRoutes: number;
  acceptedAtMs: number | undefined;
}

export interface ReadRecord {
  readonly sentAtMs: number;
  readonly isFinal: boolean;
  /** Undefined: no daemon answered. */
  readonly text: string | undefined;
}

/** A fault as it was played. */
export interface FaultRecord {
  readonly name: string;
  /** Planned work, which may cut off nothing. */
  readonly isPlanned: boolean;
  /** The entry that was asked to stop or to reload. */
  readonly entry: number | undefined;
  /** The entries whose process or links it disrupts. */
  readonly disrupted: readonly number[];
  /** The entries that reach no target meanwhile. */
  readonly cutOff: readonly number[];
  readonly kind: string;
  readonly fromMs: number;
  untilMs: number;
}

export interface SoakRecords {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly configs: readonly ConfigRecord[];
  readonly reads: readonly ReadRecord[];
  readonly faults: readonly FaultRecord[];
  /** Calls after the last fault and the recovery time. */
  readonly recovery: {readonly served: number; readonly calls: number};
  /** Processes that ended though nobody ended them. */
  readonly ownEnds: readonly string[];
}

/** Bounds that the users state. */
export interface SoakBounds {
  readonly contactMs: number;
  readonly graceMs: number;
  readonly lossSlackMs: number;
  readonly configMs: number;
  readonly recoverMs: number;
  readonly drainMs: number;
}

/** What one daemon is started with. */
export interface DaemonSettings {
  readonly name: string;
  readonly host: string;
  readonly zone: string;
  readonly role: 'entry' | 'control';
  readonly ports: {
    readonly callers: number;
    readonly control: number;
    readonly internal: number;
  };
  readonly seeds: readonly string[];
  readonly isFirstStart: boolean;
  readonly dataFolder: string;
  readonly heartbeatMs: number;
  readonly bounds: SoakBounds;
}

export interface Heartbeat {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly isDraining: boolean;
  readonly sequence: number;
  readonly bornMs: number;
}

/** One call of the operator or of a target to a control daemon. */
export interface ControlCall {
  readonly method: string;
  readonly path: string;
  readonly body?: string;
}

/** What a target reads of a request. */
export interface TargetRequest {
  readonly attempt: string;
  /** The target that is meant. */
  readonly target: string | undefined;
  /** The copy from which a stream goes on. */
  readonly handle: string | undefined;
  readonly lastEventId: number;
}

export interface MoveOrder {
  readonly attempt: string;
  /** Address of the target that receives the copy. */
  readonly destination: string;
  /** Whether the run stops before it is copied. */
  readonly isLast: boolean;
}

/** Two services: plain ones and engines. */
export interface ConfigChoice {
  readonly version: number;
  readonly plainService: string;
  readonly engineService: string;
  /** Further routes, of kind `safe`; only the last one is called. */
  readonly spareRoutes: number;
}

/** Names and formats of the programs under test. */
export interface SoakDialect {
  readonly program: string;
  readonly settingsVariable: string;
  settingsText(settings: DaemonSettings): string;
  callHeaders(attempt: string, deadlineMs: number): Record<string, string>;
  /** Path of the kind's route, or of a spare route by its position. */
  pathOf(kind: RequestKind, spareRoute?: number): string;
  signatureOf(headers: IncomingHttpHeaders): string | undefined;
  attemptOf(headers: IncomingHttpHeaders): string | undefined;
  readRequest(head: string): TargetRequest;
  /** Undefined unless the request orders a move. */
  readMove(head: string, body: string): MoveOrder | undefined;
  moveAnswer(handle: string | undefined, made: number): string;
  answerLines(attempt: string, signature: string): readonly string[];
  notRunLines(attempt: string): readonly string[];
  readonly misdirectedStatus: string;
  heartbeat(heartbeat: Heartbeat): ControlCall;
  deregistration(id: string): ControlCall;
  configText(choice: ConfigChoice): string;
  versionOf(configText: string): number;
  readConfig(): ControlCall;
  writeConfig(text: string): ControlCall;
  setZone(zone: string, isOut: boolean): ControlCall;
}
