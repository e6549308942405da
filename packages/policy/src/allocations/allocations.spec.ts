/**
 * Tests allocations under lost and late heartbeats, crashed entries and changes
 * of the leader. No target may run more requests than the largest capacity it
 * had within the last lease.
 */
import {expect} from 'earl';
import {test} from 'node:test';
import {createRandom, type Random} from '@samphirefield/replication/fuzz';
import {
  instanceId,
  serviceId,
  targetId,
  zoneId,
  type Announcement,
  type TargetId,
} from '@samphirefield/core';
import {
  capacityOf,
  createLeaderTables,
  divideUnits,
  handleReport,
  holderId,
  leaderTick,
  recordAnnouncement,
  type AllocationTiming,
  type ReportResponse,
  type EntryReport,
  type HolderId,
  type LeaderTables,
  type ServiceState,
} from './index.js';

const TIMING: AllocationTiming = {
  leaseMs: 3_000,
  clockDriftMs: 50,
  targetExpiryMs: 4_000,
  targetRetentionMs: 60_000,
  quarantineMs: 60_000,
};
const ANNOUNCE_MS = 300;
/**
 * Longest time in the simulation from measuring a target's load to the leader
 * receiving the report.
 */
const MAX_REPORT_DELAY_MS = 1_100;
const NONE_OUT: ServiceState = {outZones: new Set(), outTargets: new Set()};

function announcement(
  target: string,
  change: Partial<Announcement> = {},
): Announcement {
  return {
    target,
    incarnation: 'i1',
    zone: 'zone-a',
    service: 'models',
    address: '127.0.0.1',
    port: 1,
    models: [],
    slots: 12,
    cold_slots: 2,
    kv_tokens: 24_000,
    is_warm: true,
    warm_for_ms: 100_000,
    load: {running: 0, waiting: 0, kv_used_tokens: 0, age_ms: 0},
    ...change,
  };
}

function report(
  holder: string,
  sequence: number,
  change: Partial<EntryReport> = {},
): EntryReport {
  return {
    holder: holderId(holder),
    instance: instanceId(holder),
    zone: zoneId('zone-a'),
    sequence,
    held: [],
    demand: [],
    announcements: [],
    deaths: [],
    clearedSuspects: [],
    inheritedQuarantine: [],
    waitingSuspects: [],
    runningSuspects: [],
    knownTargetsVersion: 0,
    knownQuarantineVersion: -1,
    ...change,
  };
}

interface SimulatedTarget {
  readonly id: TargetId;
  announcement: Announcement;
  announcedAtMs: number;
  /** Requests that are actually running on the target, by holder. */
  readonly running: Map<HolderId, number>;
  readonly capacityHistory: Array<{atMs: number; slots: number}>;
}

interface SimulatedEntry {
  holder: HolderId;
  number: number;
  sequence: number;
  leaseEndMs: number;
  slots: Map<TargetId, number>;
  waiting: number;
}

/** Simulates entries, a leader and targets in virtual time, with seeded faults. */
class Simulation {
  readonly random: Random;
  nowMs = 1_000_000;
  leader: LeaderTables;
  state: ServiceState = NONE_OUT;
  admitted = 0;
  private readonly leaderChangesMs: number[] = [];
  readonly targets: SimulatedTarget[] = [];
  readonly entries: SimulatedEntry[] = [];
  private readonly delayed: Array<{atMs: number; run: () => void}> = [];

  constructor(seed: number) {
    this.random = createRandom(seed);
    this.leader = createLeaderTables(this.nowMs, TIMING);
    for (let number = 0; number < 3; number += 1) {
      this.targets.push({
        id: targetId(`t${number}`),
        announcement: announcement(`t${number}`),
        announcedAtMs: 0,
        running: new Map(),
        capacityHistory: [],
      });
    }
    for (let number = 0; number < 4; number += 1)
      this.entries.push(newEntry(number));
  }

  run(steps: number): void {
    for (let step = 0; step < steps; step += 1) {
      this.nowMs += this.random.between(10, 120);
      this.runDelayed();
      this.recordCapacities();
      for (const target of this.targets) this.stepTarget(target);
      for (const entry of this.entries) this.stepEntry(entry);
      if (step % 5 === 0) leaderTick(this.leader, TIMING, this.nowMs);
      if (this.random.chance(0.004)) this.changeLeader();
    }
  }

  private changeLeader(): void {
    this.leader = createLeaderTables(this.nowMs, TIMING);
    this.leaderChangesMs.push(this.nowMs);
  }

  private runDelayed(): void {
    for (const item of [...this.delayed]) {
      if (item.atMs > this.nowMs) continue;
      this.delayed.splice(this.delayed.indexOf(item), 1);
      item.run();
    }
  }

  private recordCapacities(): void {
    for (const target of this.targets) {
      const row = {
        target: target.id,
        announcement: target.announcement,
        lastSeenAtMs: 0,
        reportedAtMs: 0,
        finishedSinceWarm: Number.MAX_SAFE_INTEGER,
        isExpired: false,
        wasOutOfService: false,
        isRamping: false,
        backInServiceAtMs: 0,
        isUnaccountedLoadCharged: true,
        version: 0,
      };
      const {slots} = capacityOf(row, this.state);
      target.capacityHistory.push({atMs: this.nowMs, slots});
    }
  }

  private stepTarget(target: SimulatedTarget): void {
    const {random} = this;
    for (const [holder, count] of target.running) {
      if (count > 0 && random.chance(0.15))
        target.running.set(holder, count - 1);
    }
    if (random.chance(0.01)) {
      const isWarm = random.chance(0.5);
      target.announcement = {
        ...target.announcement,
        is_warm: isWarm,
        warm_for_ms: isWarm ? 100_000 : 0,
      };
    }
    if (this.nowMs - target.announcedAtMs < ANNOUNCE_MS) return;
    target.announcedAtMs = this.nowMs;
    const running = [...target.running.values()].reduce(
      (sum, count) => sum + count,
      0,
    );
    const load = {
      running,
      waiting: 0,
      kv_used_tokens: 0,
      age_ms: random.between(0, 400),
    };
    const sent = {...target.announcement, load};
    const receivedAtMs = this.nowMs;
    this.delayed.push({
      atMs: this.nowMs + random.between(0, 600),
      run: () => recordAnnouncement(this.leader, sent, receivedAtMs),
    });
  }

  private stepEntry(entry: SimulatedEntry): void {
    const {random} = this;
    if (random.chance(0.003)) {
      // The entry crashes. Its requests keep running without a holder.
      Object.assign(entry, newEntry(entry.number, `${entry.holder}+`));
      return;
    }
    if (random.chance(0.3)) entry.waiting = random.below(6);
    this.admit(entry);
    if (random.chance(0.2)) this.heartbeat(entry);
  }

  private admit(entry: SimulatedEntry): void {
    if (this.nowMs >= entry.leaseEndMs) return;
    for (const target of this.targets) {
      const running = target.running.get(entry.holder) ?? 0;
      if (
        running >= (entry.slots.get(target.id) ?? 0) ||
        this.random.chance(0.5)
      )
        continue;
      target.running.set(entry.holder, running + 1);
      this.admitted += 1;
      this.checkTarget(target);
    }
  }

  private checkTarget(target: SimulatedTarget): void {
    const running = [...target.running.values()].reduce(
      (sum, count) => sum + count,
      0,
    );
    // A decision may be based on a report from before the lease, and a report
    // may take up to `MAX_REPORT_DELAY_MS` to arrive.
    const windowMs = TIMING.leaseMs + TIMING.clockDriftMs + MAX_REPORT_DELAY_MS;
    const changes = this.leaderChangesMs.filter(
      atMs => this.nowMs - atMs < 2 * windowMs,
    );
    const sinceMs =
      this.nowMs - windowMs - changes.length * MAX_REPORT_DELAY_MS;
    const maxSlots = target.capacityHistory
      .filter(item => item.atMs >= sinceMs)
      .reduce((most, item) => Math.max(most, item.slots), 0);
    if (running > maxSlots) {
      throw new Error(
        `${target.id} runs ${running} requests, its capacity was at most ${maxSlots}`,
      );
    }
  }

  private heartbeat(entry: SimulatedEntry): void {
    const {random} = this;
    entry.sequence += 1;
    const sentAtMs = this.nowMs;
    const {holder, sequence} = entry;
    const sent = report(holder, sequence, {
      held: this.targets.map(target => ({
        target: target.id,
        incarnation: 'i1',
        slots: entry.slots.get(target.id) ?? 0,
        kvTokens: 0,
        inUse: target.running.get(holder) ?? 0,
        kvInUse: 0,
        finished: 0,
      })),
      demand: [
        {service: serviceId('models'), waiting: entry.waiting, kvNeedTokens: 0},
      ],
    });
    if (random.chance(0.15)) return;
    const {leader} = this;
    this.delayed.push({
      atMs: this.nowMs + random.between(0, 300),
      run: () => this.respond(leader, sent, entry, holder, sentAtMs),
    });
  }

  private respond(
    leader: LeaderTables,
    sent: EntryReport,
    entry: SimulatedEntry,
    holder: HolderId,
    sentAtMs: number,
  ): void {
    // A replaced leader has no lease any more and doesn't respond.
    if (leader !== this.leader) return;
    const response = handleReport(leader, sent, this.state, TIMING, this.nowMs);
    if (response === undefined || this.random.chance(0.15)) return;
    this.delayed.push({
      atMs: this.nowMs + this.random.between(0, 300),
      run: () => applyResponse(entry, holder, response, sentAtMs),
    });
  }
}

function newEntry(number: number, holder = `e${number}`): SimulatedEntry {
  return {
    holder: holderId(holder),
    number,
    sequence: 0,
    leaseEndMs: 0,
    slots: new Map(),
    waiting: 0,
  };
}

/** Applies a response, unless it is for an earlier heartbeat or holder. */
function applyResponse(
  entry: SimulatedEntry,
  holder: HolderId,
  response: ReportResponse,
  sentAtMs: number,
): void {
  if (entry.holder !== holder || response.sequence !== entry.sequence) return;
  entry.slots = new Map(
    response.allotments.map(item => [item.target, item.slots]),
  );
  entry.leaseEndMs = sentAtMs + TIMING.leaseMs;
}

test('no target runs more requests than its largest capacity within the last lease', () => {
  const SEEDS = 150;
  let admitted = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const simulation = new Simulation(seed);
    simulation.run(600);
    admitted += simulation.admitted;
  }
  // With hardly any admitted request the runs would prove nothing.
  expect(admitted > SEEDS * 300).toEqual(true);
});

function tablesAfterGrace(): LeaderTables {
  const tables = createLeaderTables(0, TIMING);
  recordAnnouncement(tables, announcement('t'), 10_000);
  return tables;
}

const slotsOf = (response: ReportResponse | undefined) =>
  response?.allotments.find(item => item.target === targetId('t'))?.slots;

test('a new leader renews held allocations and grants nothing new in its grace period', () => {
  const tables = createLeaderTables(0, TIMING);
  recordAnnouncement(tables, announcement('t'), 0);
  const held = [
    {
      target: targetId('t'),
      incarnation: 'i1',
      slots: 4,
      kvTokens: 900,
      inUse: 1,
      kvInUse: 10,
      finished: 0,
    },
  ];
  const response = handleReport(
    tables,
    report('e1', 1, {held}),
    NONE_OUT,
    TIMING,
    100,
  );
  expect(slotsOf(response)).toEqual(4);
  const other = handleReport(tables, report('e2', 1), NONE_OUT, TIMING, 100);
  expect(slotsOf(other)).toEqual(undefined);
});

test('a target in a zone that is out of service has no capacity', () => {
  const tables = tablesAfterGrace();
  const state = {
    outZones: new Set([zoneId('zone-a')]),
    outTargets: new Set<TargetId>(),
  };
  const response = handleReport(tables, report('e1', 1), state, TIMING, 10_000);
  expect(slotsOf(response)).toEqual(undefined);
});

test('a target that returns to service ramps, even if it announced itself as warm before', () => {
  const tables = tablesAfterGrace();
  const stateWithZoneOut = {
    outZones: new Set([zoneId('zone-a')]),
    outTargets: new Set<TargetId>(),
  };
  handleReport(tables, report('e1', 1), stateWithZoneOut, TIMING, 10_000);
  const returned = handleReport(
    tables,
    report('e1', 2),
    NONE_OUT,
    TIMING,
    10_100,
  );
  expect(slotsOf(returned)).toEqual(2);
  const held = {
    target: targetId('t'),
    incarnation: 'i1',
    slots: 2,
    kvTokens: 0,
    inUse: 0,
    kvInUse: 0,
  };
  const heartbeat = (sequence: number, finished: number) =>
    handleReport(
      tables,
      report('e1', sequence, {held: [{...held, finished}]}),
      NONE_OUT,
      TIMING,
      10_100 + sequence,
    );
  // Finished requests count only after the target has announced itself again.
  expect(slotsOf(heartbeat(3, 4))).toEqual(2);
  recordAnnouncement(tables, announcement('t'), 10_200);
  expect(slotsOf(heartbeat(4, 5))).toEqual(3);
});

test('a draining target has no capacity', () => {
  const tables = tablesAfterGrace();
  recordAnnouncement(tables, announcement('t', {leaving_in_ms: 5_000}), 10_001);
  expect(
    slotsOf(handleReport(tables, report('e1', 1), NONE_OUT, TIMING, 10_002)),
  ).toEqual(undefined);
});

test('a cold target ramps with finished requests after announcing itself as warm', () => {
  const tables = tablesAfterGrace();
  recordAnnouncement(
    tables,
    announcement('t', {is_warm: false, warm_for_ms: 0}),
    10_001,
  );
  const row = tables.targets.get(targetId('t'))!;
  expect(capacityOf(row, NONE_OUT).slots).toEqual(2);
  recordAnnouncement(tables, announcement('t', {warm_for_ms: 1_000}), 10_002);
  expect(capacityOf(row, NONE_OUT).slots).toEqual(2);
  const held = {
    target: targetId('t'),
    incarnation: 'i1',
    slots: 2,
    kvTokens: 0,
    inUse: 0,
    kvInUse: 0,
  };
  handleReport(
    tables,
    report('e1', 1, {held: [{...held, finished: 5}]}),
    NONE_OUT,
    TIMING,
    10_003,
  );
  expect(capacityOf(row, NONE_OUT).slots).toEqual(7);
  recordAnnouncement(
    tables,
    announcement('t', {is_warm: false, warm_for_ms: 0}),
    10_004,
  );
  expect(capacityOf(row, NONE_OUT).slots).toEqual(2);
});

test('an entry with waiting requests gets the slots that idle entries release', () => {
  const tables = tablesAfterGrace();
  handleReport(tables, report('e1', 1), NONE_OUT, TIMING, 10_000);
  handleReport(tables, report('e2', 1), NONE_OUT, TIMING, 10_000);
  const demand = [{service: serviceId('models'), waiting: 20, kvNeedTokens: 0}];
  const firstResponse = handleReport(
    tables,
    report('e2', 2, {demand}),
    NONE_OUT,
    TIMING,
    10_500,
  );
  const held = (slots: number) => [
    {
      target: targetId('t'),
      incarnation: 'i1',
      slots,
      kvTokens: 0,
      inUse: 0,
      kvInUse: 0,
      finished: 0,
    },
  ];
  const shrunkSlots = slotsOf(
    handleReport(
      tables,
      report('e1', 2, {held: held(12)}),
      NONE_OUT,
      TIMING,
      10_600,
    ),
  )!;
  expect(shrunkSlots).toEqual(0);
  // Nothing is granted before the idle entry has confirmed its smaller grant.
  const earlyResponse = handleReport(
    tables,
    report('e2', 3, {demand, held: held(slotsOf(firstResponse) ?? 0)}),
    NONE_OUT,
    TIMING,
    10_700,
  );
  expect(slotsOf(earlyResponse) ?? 0).toEqual(0);
  handleReport(
    tables,
    report('e1', 3, {held: held(shrunkSlots)}),
    NONE_OUT,
    TIMING,
    10_800,
  );
  const lateResponse = handleReport(
    tables,
    report('e2', 4, {demand, held: held(0)}),
    NONE_OUT,
    TIMING,
    10_900,
  );
  expect(slotsOf(lateResponse)).toEqual(12);
});

test('a heartbeat that arrives after a later one changes nothing', () => {
  const tables = tablesAfterGrace();
  handleReport(tables, report('e1', 2), NONE_OUT, TIMING, 10_000);
  expect(
    handleReport(tables, report('e1', 1), NONE_OUT, TIMING, 10_001),
  ).toEqual(undefined);
});

test('all units are divided, in whole numbers', () => {
  const share = (weight: number, tieBreak: number) => ({
    key: `${tieBreak}`,
    weight,
    tieBreak,
  });
  expect(divideUnits(7, [share(1, 1), share(1, 2), share(1, 3)])).toEqual([
    2, 2, 3,
  ]);
  expect(divideUnits(1, [share(1, 1), share(33, 2)])).toEqual([0, 1]);
  expect(divideUnits(0, [share(1, 1)])).toEqual([0]);
});
