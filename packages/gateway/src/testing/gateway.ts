/** A gateway in front of scripted targets, with a simple test protocol. */
import {request, type IncomingHttpHeaders} from 'node:http';
import {
  instanceId,
  serviceId,
  silentLogger,
  targetId,
  zoneId,
  type TargetId,
} from '@samphirefield/core';
import type {
  Demand,
  DispatchResult,
  GatewayDependencies,
  GatewayProtocol,
  KvCacheMover,
  PlannedStop,
  ReservationClient,
  RelayPeer,
  RequestKind,
  RunOutcome,
  StatementListener,
  Route,
  Quarantine,
  TargetReachability,
  TargetRecord,
} from '../index.js';
import {Dispatcher, NO_LIMITS} from '../dispatch/index.js';
import {LocalQuarantine} from '../quarantine/index.js';
import {buildRouteIndex} from '../routes/index.js';
import {RelayPeers} from '../exchange/index.js';
import {
  startGatewayServer,
  startRelayListener,
  type GatewayServer,
} from '../server/index.js';
import {UpstreamPool} from '../upstream/index.js';
import type {ScriptedTarget} from './scripted-target.js';

export const testProtocol: GatewayProtocol = {
  readRequest: headers => ({
    attemptId: headers['attempt'] as string | undefined,
    deadlineMs: headers['deadline-ms']
      ? Number(headers['deadline-ms'])
      : undefined,
    apiKey: headers['key'] as string | undefined,
    promptTokens: 100,
    maxOutputTokens: Number(headers['output'] ?? 100),
    hintedOutputTokens: undefined,
    lastEventId: headers['last-event-id']
      ? Number(headers['last-event-id'])
      : undefined,
    sharedPromptParts: String(headers['parts'] ?? '')
      .split(' ')
      .filter(part => part !== ''),
  }),
  readResponse: ({status, headers}) => ({
    attemptId: headers.get('attempt'),
    isNotRun: headers.has('not-run'),
    isMisdirected: status === 421,
    isSigned: headers.has('signed'),
    stated: {
      limitsPerS: headers.has('limit') ? [Number(headers.get('limit'))] : [],
      leaving: headers.has('leaving') ? [Number(headers.get('leaving'))] : [],
      pausesS: headers.has('retry-after')
        ? [Number(headers.get('retry-after') || 'none')]
        : [],
      maxRejectionsPerS: headers.has('brittle')
        ? [Number(headers.get('brittle'))]
        : [],
    },
    loads: headers.has('load')
      ? [headers.get('load')!.split(',').map(Number)]
      : [],
  }),
  isForwardedHeader: name => name !== 'internal' && name !== 'last-event-id',
  writeGatewayHeaders: ({target, remainingMs, resume, lastEventId}) => [
    'Internal',
    target,
    'Left-Ms',
    String(remainingMs),
    ...(resume ? ['Resume', resume.handle] : []),
    ...(lastEventId === undefined ? [] : ['Last', String(lastEventId)]),
  ],
};

export interface TestGateway {
  readonly port: number;
  readonly server: GatewayServer;
  /** This gateway as a peer of others. */
  readonly asPeer: RelayPeer;
  /** Events that were logged, by their names. */
  readonly events: string[];
  /** Whether this gateway is cut off from its targets; false at first. */
  isCutOff: boolean;
  /** Index of the state that this gateway follows; 1 at first. */
  stateIndex: number;
  /** Simulates a process that was asked to stop, and ends in `ms`. */
  stopIn(ms: number, requestedMsAgo?: number): void;
  /** Marks a target as draining. */
  startDraining(position: number): void;
  /** Number of runs that hold a reservation. */
  heldRunCount(): number;
  close(): void;
}

export interface TestGatewayOptions {
  readonly kind: RequestKind;
  readonly targets: readonly ScriptedTarget[];
  readonly route?: Partial<Route>;
  readonly mover?: KvCacheMover;
  /** Whether running generations can be moved; default: true. */
  readonly canMove?: boolean;
  readonly statements?: Partial<StatementListener>;
  /** Default: follows the gateway's `isCutOff`. */
  readonly reachability?: TargetReachability;
  readonly hasLostLinks?: GatewayDependencies['hasLostLinks'];
  readonly quarantine?: Quarantine;
  readonly reservations?: Partial<ReservationClient>;
  /** The gateways through which this one relays; default: none. */
  readonly peers?: () => readonly RelayPeer[];
  /** Retries that the budget allows; default: any number. */
  readonly retries?: number;
  /** Called with how each granted run ended. */
  readonly onRunEnd?: (outcome: RunOutcome) => void;
}

const RELAY_TOKEN = 'relay-secret';
const SERVICE = serviceId('s');
export const NO_MOVES: KvCacheMover = {
  copy: () => Promise.resolve({kind: 'no_run'}),
  drop: () => undefined,
};

function toRecord(target: ScriptedTarget, position: number): TargetRecord {
  return {
    announcement: {
      id: targetId(`t${position + 1}`),
      bornMs: 1,
      sequence: 1,
      service: SERVICE,
      host: target.host,
      port: target.port,
      zone: zoneId('a'),
      slots: 100,
      state: 'ready',
      coldLeftMs: 0,
    },
    lastSeenAtMs: 0,
    coldUntilMs: 0,
  };
}

const NO_STATEMENTS: StatementListener = {
  hear: () => undefined,
  hasLeft: () => false,
  mayUse: () => true,
  pausedTargets: () => [],
  pauseLeftMs: () => undefined,
};

class TestReservationClient implements ReservationClient {
  readonly records = new Map<TargetId, TargetRecord>();
  readonly drainListeners = new Map<TargetId, () => void>();
  private readonly pending = new Map<
    string,
    (result: DispatchResult) => void
  >();
  readonly dispatcher = new Dispatcher({
    onResult: ({request}, result) => this.pending.get(request)?.(result),
    share: () => 1,
    // Equally good targets are chosen in their order.
    random: () => 0,
    limiter: {
      ...NO_LIMITS,
      recordEnd: (_target, outcome) => this.onRunEnd(outcome),
    },
  });

  constructor(
    targets: readonly ScriptedTarget[],
    private readonly onRunEnd: (outcome: RunOutcome) => void,
  ) {
    const nowMs = performance.now();
    targets.map(toRecord).forEach(record => {
      this.records.set(record.announcement.id, record);
      this.dispatcher.setTarget(record, false, nowMs);
    });
    this.dispatcher.configure(
      [{service: SERVICE, kvTokens: undefined, coldRequestsPerS: 0}],
      new Set(),
    );
  }

  reserve(demand: Demand): Promise<DispatchResult> {
    return new Promise(resolve => {
      this.pending.set(demand.request, resolve);
      this.dispatcher.acquire(demand, performance.now());
    });
  }

  release(...[run, , outcome]: Parameters<ReservationClient['release']>): void {
    this.dispatcher.release(run, outcome, performance.now());
  }

  findTarget(id: TargetId): TargetRecord | undefined {
    return this.records.get(id);
  }

  onDraining(id: TargetId, listener: () => void): () => void {
    this.drainListeners.set(id, listener);
    return () => this.drainListeners.delete(id);
  }

  acquireMovePermit(): Promise<void> {
    return Promise.resolve();
  }

  releaseMovePermit(): void {
    return;
  }

  startDraining(id: TargetId): void {
    const record = this.records.get(id)!;
    const announcement = {...record.announcement, state: 'draining' as const};
    const draining = {...record, announcement};
    this.records.set(id, draining);
    this.dispatcher.setTarget(draining, false, performance.now());
    this.drainListeners.get(id)?.();
  }
}

function relayThrough(list: () => readonly RelayPeer[]): RelayPeers {
  const nowMs = () => performance.now();
  return new RelayPeers({list, nowMs, random: () => 0});
}

export async function startTestGateway(
  options: TestGatewayOptions,
): Promise<TestGateway> {
  const reservations = Object.assign(
    new TestReservationClient(
      options.targets,
      options.onRunEnd ?? (() => undefined),
    ),
    options.reservations,
  );
  const pool = new UpstreamPool();
  let plannedStop: PlannedStop | undefined;
  let remainingRetries = options.retries ?? Number.POSITIVE_INFINITY;
  const table = {
    version: 1,
    routes: [
      {
        name: 'r',
        host: 'test',
        pathPrefix: '/',
        kind: options.kind,
        timeoutMs: 5_000,
        objectiveMs: 500,
        priority: 0,
        services: [{service: SERVICE, weight: 1}],
        maxRuns: 2,
        isPublic: true,
        eventGapMs: 100,
        isResumable: false,
        ...options.route,
      },
    ],
    services: [
      {
        name: SERVICE,
        healthPath: '/',
        maxConnections: 100,
        coldRequestsPerS: 0,
        engine: {
          slots: 100,
          kvTokens: 100_000,
          bytesPerKvToken: 1,
          linkMbps: 1,
          canMove: options.canMove ?? true,
          tokensPerEvent: 1,
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    workspaces: [],
  };
  const activeConfig = {
    view: {index: 1, table, zonesOut: new Set<never>()},
    routeIndex: buildRouteIndex(table),
  };
  const events: string[] = [];
  const note = (event: string) => void events.push(event);
  const deps: GatewayDependencies = {
    instance: instanceId('e1'),
    zone: zoneId('a'),
    protocol: testProtocol,
    reservations,
    budget: {
      recordRequest: () => undefined,
      tryConsume: () => (remainingRetries -= 1) >= 0,
    },
    quarantine:
      options.quarantine ?? new LocalQuarantine(() => performance.now()),
    hasLostLinks: options.hasLostLinks,
    statements: {...NO_STATEMENTS, ...options.statements},
    targetLoads: {hearLoad: () => undefined, measure: () => undefined},
    pool,
    mover: options.mover ?? NO_MOVES,
    logger: {...silentLogger, info: note, warn: note, error: note},
    observe: () => undefined,
    activeConfig: () => {
      const view = {...activeConfig.view, index: gateway.stateIndex};
      return {...activeConfig, view};
    },
    nowMs: () => performance.now(),
    plannedStop: () => plannedStop,
    random: () => 0,
    reachability: options.reachability ?? {
      unreachableTargets: () => [],
      isCutOff: () => gateway.isCutOff,
      isLost: () => false,
      noteConnected: () => undefined,
      noteUnreachable: () => undefined,
    },
    ...(options.peers && {relayPeers: relayThrough(options.peers)}),
  };
  const server = await startGatewayServer('127.0.0.1', 0, deps);
  const listener = startRelayListener(
    {host: '127.0.0.1', port: 0, token: RELAY_TOKEN},
    deps,
  );
  const gateway: TestGateway = {
    port: server.port,
    server,
    asPeer: {
      instance: instanceId(`e-${server.port}`),
      zone: zoneId('a'),
      host: '127.0.0.1',
      port: await listener.port,
      token: RELAY_TOKEN,
    },
    events,
    isCutOff: false,
    stateIndex: 1,
    stopIn: (ms, requestedMsAgo = 0) => {
      const nowMs = performance.now();
      const requestedAtMs = nowMs - requestedMsAgo;
      plannedStop = {requestedAtMs, endsAtMs: nowMs + ms};
    },
    startDraining: position =>
      reservations.startDraining(targetId(`t${position + 1}`)),
    heldRunCount: () => reservations.dispatcher.runCount,
    close: () => {
      server.close();
      listener.close();
      pool.close();
    },
  };
  return gateway;
}

export interface CallerResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the response was received completely. */
  readonly isComplete: boolean;
}

export interface CallOptions {
  /** Default: `a1`; empty: the request has no id. */
  readonly attemptId?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  /** Default: `/x?q=1`. */
  readonly path?: string;
  /** Called with all data received so far. */
  readonly onData?: (text: string, disconnect: () => void) => void;
}

/** Sends one request on a connection of its own. */
export function call(
  port: number,
  options: CallOptions = {},
): Promise<CallerResponse> {
  const {attemptId = 'a1', body = 'hello', headers = {}, onData} = options;
  const {path = '/x?q=1'} = options;
  const named = attemptId === '' ? {} : {attempt: attemptId};
  return new Promise((resolve, reject) => {
    const req = request(
      {
        host: '127.0.0.1',
        port,
        method: 'POST',
        path,
        agent: false,
        headers: {host: 'test', ...named, ...headers},
      },
      res => {
        let text = '';
        const finish = () =>
          resolve({
            status: res.statusCode!,
            headers: res.headers,
            body: text,
            isComplete: res.complete,
          });
        res.setEncoding('latin1');
        res.on('data', (part: string) => {
          text += part;
          onData?.(text, () => req.destroy());
        });
        res.on('end', finish);
        res.on('error', finish);
      },
    );
    req.on('error', reject);
    req.end(body);
  });
}
