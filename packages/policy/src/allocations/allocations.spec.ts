/**
 * Allotments under lost and late heartbeats, dead entries and dead leaders: no
 * target is ever handed more than it bore within the last lease.
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
/** Longest way of a target's report to the leader in the simulation. */
const REPORT_TRAVEL_MS = 1_100;
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
  /** Requests that really run on it, by holder. */
  readonly running: Map<HolderId, number>;
  readonly bearingHistory: Array<{atMs: number; slots: number}>;
}

interface SimulatedEntry {
  holder: HolderId;
  number: number;
  sequence: number;
  leaseEndMs: number;
  slots: Map<TargetId, number>;
  waiting: number;
}

/** Entries, a leader and targets in virtual time, with faults from a seed. */
class Simulation {
  readonly random: Random;
  nowMs = 1_000_000;
  leader: LeaderTables;
  state: ServiceState = NONE_OUT;
  admitted = 0;
  private readonly leaderChangesMs: number[] = [];
  readonly targets: SimulatedTarget[] = [];
  readonly entries: SimulatedEntry[] = [];
  private readonly late: Array<{atMs: number; run: () => void}> = [];

  constructor(seed: number) {
    this.random = createRandom(seed);
    this.leader = createLeaderTables(this.nowMs, TIMING);
    for (let number = 0; number < 3; number += 1) {
      this.targets.push({
        id: targetId(`t${number}`),
        announcement: announcement(`t${number}`),
        announcedAtMs: 0,
        running: new Map(),
        bearingHistory: [],
      });
    }
    for (let number = 0; number < 4; number += 1)
      this.entries.push(newEntry(number));
  }

  run(steps: number): void {
    for (let step = 0; step < steps; step += 1) {
      this.nowMs += this.random.between(10, 120);
      this.runLate();
      this.noteBearings();
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

  private runLate(): void {
    for (const item of [...this.late]) {
      if (item.atMs > this.nowMs) continue;
      this.late.splice(this.late.indexOf(item), 1);
      item.run();
    }
  }

  private noteBearings(): void {
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
      target.bearingHistory.push({atMs: this.nowMs, slots});
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
    const heardAtMs = this.nowMs;
    this.late.push({
      atMs: this.nowMs + random.between(0, 600),
      run: () => recordAnnouncement(this.leader, sent, heardAtMs),
    });
  }

  private stepEntry(entry: SimulatedEntry): void {
    const {random} = this;
    if (random.chance(0.003)) {
      // It dies; what it had running runs on, for nobody.
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
    // A decision may rest on what was told before the lease; reports travel
    // up to a second more.
    const windowMs = TIMING.leaseMs + TIMING.clockDriftMs + REPORT_TRAVEL_MS;
    const changes = this.leaderChangesMs.filter(
      atMs => this.nowMs - atMs < 2 * windowMs,
    );
    const sinceMs = this.nowMs - windowMs - changes.length * REPORT_TRAVEL_MS;
    const bore = target.bearingHistory
      .filter(item => item.atMs >= sinceMs)
      .reduce((most, item) => Math.max(most, item.slots), 0);
    if (running > bore) {
      throw new Error(`${target.id} runs ${running}, it bore at most ${bore}`);
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
    this.late.push({
      atMs: this.nowMs + random.between(0, 300),
      run: () => this.answer(leader, sent, entry, holder, sentAtMs),
    });
  }

  private answer(
    leader: LeaderTables,
    sent: EntryReport,
    entry: SimulatedEntry,
    holder: HolderId,
    sentAtMs: number,
  ): void {
    // A leader that was replaced holds no lease any more and answers nothing.
    if (leader !== this.leader) return;
    const orders = handleReport(leader, sent, this.state, TIMING, this.nowMs);
    if (orders === undefined || this.random.chance(0.15)) return;
    this.late.push({
      atMs: this.nowMs + this.random.between(0, 300),
      run: () => applyOrders(entry, holder, orders, sentAtMs),
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

/** An entry takes only the answer to its latest heartbeat. */
function applyOrders(
  entry: SimulatedEntry,
  holder: HolderId,
  orders: ReportResponse,
  sentAtMs: number,
): void {
  if (entry.holder !== holder || orders.sequence !== entry.sequence) return;
  entry.slots = new Map(
    orders.allotments.map(item => [item.target, item.slots]),
  );
  entry.leaseEndMs = sentAtMs + TIMING.leaseMs;
}

test('no target is handed more than it bore within the last lease', () => {
  const SEEDS = 150;
  let admitted = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const simulation = new Simulation(seed);
    simulation.run(600);
    admitted += simulation.admitted;
  }
  // The runs would prove nothing if hardly anything was admitted.
  expect(admitted > SEEDS * 300).toEqual(true);
});

function leaderAfterGrace(): LeaderTables {
  const tables = createLeaderTables(0, TIMING);
  recordAnnouncement(tables, announcement('t'), 10_000);
  return tables;
}

const slotsOf = (orders: ReportResponse | undefined) =>
  orders?.allotments.find(item => item.target === targetId('t'))?.slots;

test('a new leader renews what entries hold and gives nothing more yet', () => {
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
  const orders = handleReport(
    tables,
    report('e1', 1, {held}),
    NONE_OUT,
    TIMING,
    100,
  );
  expect(slotsOf(orders)).toEqual(4);
  const other = handleReport(tables, report('e2', 1), NONE_OUT, TIMING, 100);
  expect(slotsOf(other)).toEqual(undefined);
});

test('a zone that is out bears nothing', () => {
  const tables = leaderAfterGrace();
  const state = {
    outZones: new Set([zoneId('zone-a')]),
    outTargets: new Set<TargetId>(),
  };
  const orders = handleReport(tables, report('e1', 1), state, TIMING, 10_000);
  expect(slotsOf(orders)).toEqual(undefined);
});

test('a target that comes back into service ramps, whatever it said before', () => {
  const tables = leaderAfterGrace();
  const out = {
    outZones: new Set([zoneId('zone-a')]),
    outTargets: new Set<TargetId>(),
  };
  handleReport(tables, report('e1', 1), out, TIMING, 10_000);
  const back = handleReport(tables, report('e1', 2), NONE_OUT, TIMING, 10_100);
  expect(slotsOf(back)).toEqual(2);
  const held = {
    target: targetId('t'),
    incarnation: 'i1',
    slots: 2,
    kvTokens: 0,
    inUse: 0,
    kvInUse: 0,
  };
  const beat = (sequence: number, finished: number) =>
    handleReport(
      tables,
      report('e1', sequence, {held: [{...held, finished}]}),
      NONE_OUT,
      TIMING,
      10_100 + sequence,
    );
  // What finishes counts only once the target was heard again.
  expect(slotsOf(beat(3, 4))).toEqual(2);
  recordAnnouncement(tables, announcement('t'), 10_200);
  expect(slotsOf(beat(4, 5))).toEqual(3);
});

test('a leaving target bears nothing', () => {
  const tables = leaderAfterGrace();
  recordAnnouncement(tables, announcement('t', {leaving_in_ms: 5_000}), 10_001);
  expect(
    slotsOf(handleReport(tables, report('e1', 1), NONE_OUT, TIMING, 10_002)),
  ).toEqual(undefined);
});

test('a cold target ramps on finished work once it says that it is warm', () => {
  const tables = leaderAfterGrace();
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

test('an entry that waits gets the slots that idle ones give back', () => {
  const tables = leaderAfterGrace();
  handleReport(tables, report('e1', 1), NONE_OUT, TIMING, 10_000);
  handleReport(tables, report('e2', 1), NONE_OUT, TIMING, 10_000);
  const demand = [{service: serviceId('models'), waiting: 20, kvNeedTokens: 0}];
  const first = handleReport(
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
  const shrunk = slotsOf(
    handleReport(
      tables,
      report('e1', 2, {held: held(12)}),
      NONE_OUT,
      TIMING,
      10_600,
    ),
  )!;
  expect(shrunk).toEqual(0);
  // Not before the other has confirmed.
  const early = handleReport(
    tables,
    report('e2', 3, {demand, held: held(slotsOf(first) ?? 0)}),
    NONE_OUT,
    TIMING,
    10_700,
  );
  expect(slotsOf(early) ?? 0).toEqual(0);
  handleReport(
    tables,
    report('e1', 3, {held: held(shrunk)}),
    NONE_OUT,
    TIMING,
    10_800,
  );
  const late = handleReport(
    tables,
    report('e2', 4, {demand, held: held(0)}),
    NONE_OUT,
    TIMING,
    10_900,
  );
  expect(slotsOf(late)).toEqual(12);
});

test('a heartbeat that was overtaken changes nothing', () => {
  const tables = leaderAfterGrace();
  handleReport(tables, report('e1', 2), NONE_OUT, TIMING, 10_000);
  expect(
    handleReport(tables, report('e1', 1), NONE_OUT, TIMING, 10_001),
  ).toEqual(undefined);
});

test('units are divided whole and completely', () => {
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
