/**
 * The daemon's own policy in a replay: its scheduler, tables and heartbeats and
 * the leader's allocations, all in virtual time.
 */
import {
  announcementSchema,
  fingerprint,
  instanceId,
  parseRules,
  requestId,
  sha256Hex,
  silentLogger,
  zoneId,
  type Announcement,
  type RuleSet,
} from '@samphirefield/core';
import {
  applyResponse,
  buildHeartbeat,
  createEntryTables,
  histogramFor,
  Scheduler,
  type Admission,
  type EntryTables,
} from '@samphirefield/daemon';
import {
  createLeaderTables,
  handleReport,
  holderId,
  leaderTick,
  recordAnnouncement,
  recordLength,
  type AllocationTiming,
  type LeaderTables,
} from '@samphirefield/policy';
import type {TraceEvent} from '../trace/index.js';
import {REPORT_LAG_MS, type SimulatedEngine} from './engines.js';
import type {
  SimulatedRequest,
  Router,
  RouterFactory,
  RouterHost,
} from './router.js';

const HEARTBEAT_MS = 500;
const EARLY_HEARTBEAT_MS = 60;
/** One-way delay between an entry and the leader. */
const NETWORK_MS = 2;
const TICK_MS = 100;
const LEASE_MS = 3_000;
const QUEUE_WAIT_MS = 600_000;
const MAX_TOKENS = 32_768;
const TIMING: AllocationTiming = {
  leaseMs: LEASE_MS,
  clockDriftMs: 50,
  targetExpiryMs: 4_000,
  targetRetentionMs: 600_000,
  quarantineMs: 600_000,
};

/** Returns rules for the services of a trace and the workspaces of generated traces. */
function rulesFor(services: readonly string[]): RuleSet {
  const lines = services.flatMap(service => [
    `service ${service} kind=engine path=/v1 queue=1000000 # replay: trace`,
    `affinity service=${service} # replay: trace`,
  ]);
  for (let number = 0; number < 10; number += 1) {
    lines.push(
      `workspace workspace-${number} key-sha256=${sha256Hex(`${number}`)} # replay: trace`,
    );
  }
  return parseRules(lines.join('\n'))._unsafeUnwrap();
}

interface AdmittedRequest {
  readonly entry: SimulatedEntry;
  readonly admission: Admission;
}

/** One entry: the daemon's scheduler with heartbeats to the simulated leader. */
class SimulatedEntry {
  readonly tables: EntryTables;
  readonly scheduler: Scheduler;
  private sequence = 0;
  private dueMs = Infinity;

  constructor(
    number: number,
    rules: RuleSet,
    private readonly host: RouterHost,
    private readonly leader: SimulatedLeader,
    private readonly onAdmitted: (
      request: SimulatedRequest,
      running: AdmittedRequest,
    ) => void,
  ) {
    const holder = holderId(`entry-${number}/replay`);
    this.tables = createEntryTables(
      holder,
      instanceId(`entry-${number}`),
      zoneId('zone-a'),
    );
    this.tables.rules = rules;
    this.scheduler = new Scheduler({
      tables: this.tables,
      clock: {nowMs: host.nowMs, wallMs: host.nowMs},
      logger: silentLogger,
      limits: {
        body_bytes: 1,
        queue_per_service: 1_000_000,
        queue_wait_ms: QUEUE_WAIT_MS,
        stream_buffer_bytes: 1,
        stored_answer_bytes: 1,
        ledger_records: 1,
        ledger_retention_ms: 1,
      },
      requestCapacity: () => this.requestHeartbeat(),
    });
    this.scheduleHeartbeat(host.nowMs() + number);
    this.scheduleTick();
  }

  onArrival(request: SimulatedRequest): void {
    const {arrival} = request;
    const {rules} = this.tables;
    const service = [...rules.services.values()].find(
      rule => rule.service === arrival.service,
    )!;
    const workspace = [...rules.workspaces.values()].find(
      rule => rule.workspace === arrival.workspace,
    )!;
    void this.scheduler
      .acquire({
        requestId: requestId(request.id),
        workspace,
        service,
        model: 'model',
        modelVersion: '1',
        promptParts: [],
        fingerprint: fingerprint(request.id),
        prefix: arrival.prefix,
        promptTokens: arrival.prompt_tokens,
        maxOutputTokens: MAX_TOKENS,
        excluded: new Set(),
        signal: new AbortController().signal,
      })
      .then(admitted => {
        if (admitted.isErr()) this.host.shed(request);
        else this.onAdmitted(request, {entry: this, admission: admitted.value});
      });
  }

  /** Brings the next heartbeat forward. */
  private requestHeartbeat(): void {
    const atMs = this.host.nowMs() + EARLY_HEARTBEAT_MS;
    if (this.dueMs > atMs) this.scheduleHeartbeat(atMs);
  }

  /** Replaces the time of the next heartbeat. */
  private scheduleHeartbeat(atMs: number): void {
    this.dueMs = atMs;
    this.host.schedule(atMs, () => {
      if (this.dueMs === atMs) this.sendHeartbeat();
    });
  }

  private scheduleTick(): void {
    this.host.schedule(this.host.nowMs() + TICK_MS, () => {
      this.scheduler.tick();
      this.scheduleTick();
    });
  }

  private sendHeartbeat(): void {
    this.dueMs = Infinity;
    this.sequence += 1;
    const sentAtMs = this.host.nowMs();
    const demand = this.scheduler.demand();
    const heartbeat = buildHeartbeat(
      this.tables,
      this.sequence,
      demand,
      sentAtMs,
    );
    this.host.schedule(sentAtMs + NETWORK_MS, () => {
      const response = this.leader.respond(heartbeat.report);
      this.host.schedule(sentAtMs + 2 * NETWORK_MS, () => {
        let needsEarlyHeartbeat = demand.length > 0;
        if (response) {
          const applied = applyResponse(
            this.tables,
            heartbeat,
            response,
            sentAtMs,
            LEASE_MS,
          );
          needsEarlyHeartbeat ||= applied.needsEarlyHeartbeat;
          this.scheduler.dispatch();
        }
        this.scheduleHeartbeat(
          this.host.nowMs() +
            (needsEarlyHeartbeat ? EARLY_HEARTBEAT_MS : HEARTBEAT_MS),
        );
      });
    });
  }
}

/** The leader: its tables, fed by heartbeats and by the engines' announcements. */
class SimulatedLeader {
  private readonly tables: LeaderTables;
  private readonly outZones = new Set<ReturnType<typeof zoneId>>();

  constructor(private readonly host: RouterHost) {
    // The replay starts with a leader whose grace period has ended.
    this.tables = createLeaderTables(-10_000, TIMING);
    for (const engine of host.engines.values()) this.announce(engine);
    this.scheduleTick();
  }

  announce(engine: SimulatedEngine): void {
    recordAnnouncement(
      this.tables,
      this.announcementOf(engine),
      this.host.nowMs(),
    );
  }

  setZoneOut(zone: string, isOut: boolean): void {
    if (isOut) this.outZones.add(zoneId(zone));
    else this.outZones.delete(zoneId(zone));
  }

  /** Returns the heartbeat response; undefined if this or a later report was already handled. */
  respond(report: Parameters<typeof handleReport>[1]) {
    const state = {outZones: this.outZones, outTargets: new Set<never>()};
    const orders = handleReport(
      this.tables,
      report,
      state,
      TIMING,
      this.host.nowMs(),
    );
    if (orders === undefined) return undefined;
    return {
      kind: 'ok' as const,
      leaderInstance: 'leader',
      term: 1,
      orders,
      news: {kind: 'none' as const},
      voters: [],
    };
  }

  private scheduleTick(): void {
    this.host.schedule(this.host.nowMs() + TICK_MS, () => {
      leaderTick(this.tables, TIMING, this.host.nowMs());
      this.scheduleTick();
    });
  }

  private announcementOf(engine: SimulatedEngine): Announcement {
    const {spec, state, report, warmSinceMs} = engine;
    const warmForMs = Math.max(0, this.host.nowMs() - warmSinceMs);
    return announcementSchema.parse({
      target: spec.target,
      incarnation: '1',
      zone: spec.zone,
      service: spec.service,
      address: '127.0.0.1',
      port: 1,
      models: [{model: 'model', version: '1'}],
      slots: spec.slots,
      cold_slots: spec.cold_slots,
      kv_tokens: spec.kv_tokens,
      is_warm: state.isWarm,
      warm_for_ms: state.isWarm ? Math.round(warmForMs) : 0,
      load: {
        running: report.running,
        waiting: report.waiting,
        kv_used_tokens: report.kvUsedTokens,
        age_ms: REPORT_LAG_MS,
      },
    });
  }
}

/** Routes requests as a deployment of `entryCount` entries and one leader does. */
export const samphirefield: RouterFactory = (host, entryCount): Router => {
  const services = new Set(
    [...host.engines.values()].map(engine => engine.spec.service),
  );
  const rules = rulesFor([...services]);
  const leader = new SimulatedLeader(host);
  const running = new Map<string, AdmittedRequest>();
  const onAdmitted = (request: SimulatedRequest, admitted: AdmittedRequest) => {
    running.set(request.id, admitted);
    host.submit(request, admitted.admission.target.view.target);
  };
  const entries = Array.from(
    {length: entryCount},
    (_, number) => new SimulatedEntry(number, rules, host, leader, onAdmitted),
  );
  return {
    onArrival: request =>
      entries[request.arrival.entry % entries.length]!.onArrival(request),
    onToken: id => {
      const request = running.get(id);
      if (request) request.admission.run.generatedTokens += 1;
    },
    onFinished: id => {
      const request = running.get(id);
      if (request === undefined) return;
      running.delete(id);
      const {run} = request.admission;
      const histogram = histogramFor(
        request.entry.tables,
        run.service,
        run.workspace,
      );
      recordLength(histogram, run.generatedTokens);
      request.entry.scheduler.release(request.admission, true);
    },
    onReport: engine => leader.announce(engine),
    onEvent: (event: TraceEvent) => {
      if (event.kind === 'zone_out') leader.setZoneOut(event.zone, true);
      if (event.kind === 'zone_back') leader.setZoneOut(event.zone, false);
    },
  };
};
