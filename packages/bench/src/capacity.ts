/**
 * npm run bench:capacity: measures the daemon's own functions at growing numbers
 * of targets, entries, requests, workspaces and records. docs/CAPACITY.md
 * computes with these costs.
 */
import {mkdtempSync, rmSync, statSync, readdirSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  claimId,
  commandId,
  fingerprint,
  instanceId,
  parseRules,
  requestId,
  revision,
  serviceId,
  targetId,
  workspaceId,
  zoneId,
  type Announcement,
} from '@samphirefield/core';
import {ControlStateMachine} from '@samphirefield/control';
import {
  chooseTarget,
  createCandidateList,
  createLeaderTables,
  createQueue,
  enqueue,
  handleReport,
  headsInOrder,
  holderId,
  recordAnnouncement,
  type AllocationTiming,
  type Candidate,
  type ReportResponse,
  type EntryReport,
  type LeaderTables,
} from '@samphirefield/policy';
import {
  openFileStorage,
  replicaId,
  type LogEntry,
} from '@samphirefield/replication';
import {baseRules} from './deployment.js';

const TIMING: AllocationTiming = {
  leaseMs: 3_000,
  clockDriftMs: 50,
  targetExpiryMs: 4_000,
  targetRetentionMs: 600_000,
  quarantineMs: 600_000,
};
const NOTHING_OUT = {outZones: new Set<never>(), outTargets: new Set<never>()};
const MICROS_PER_MS = 1_000;
const MS_PER_S = 1_000;
const round = (value: number, digits = 2) => Number(value.toFixed(digits));

/** Returns the microseconds of one call: the median over several batches. */
function medianMicros(calls: number, run: (call: number) => void): number {
  const BATCHES = 7;
  const times: number[] = [];
  for (let batch = 0; batch < BATCHES; batch += 1) {
    const startedAt = performance.now();
    for (let call = 0; call < calls; call += 1) run(batch * calls + call);
    times.push(((performance.now() - startedAt) * MICROS_PER_MS) / calls);
  }
  return times.sort((a, b) => a - b)[Math.floor(BATCHES / 2)]!;
}

/** Returns the heap bytes per item, measured over `count` items. */
function heapBytesPerItem(
  count: number,
  make: (position: number) => unknown,
): number {
  const items: unknown[] = [];
  global.gc?.();
  const before = process.memoryUsage().heapUsed;
  for (let position = 0; position < count; position += 1)
    items.push(make(position));
  global.gc?.();
  const bytes = (process.memoryUsage().heapUsed - before) / count;
  if (items.length !== count) throw new Error('unreachable');
  return round(bytes, 0);
}

function measureRouting(): object[] {
  return [10, 100, 1_000, 2_100].map(targets => {
    const candidates = Array.from(
      {length: targets},
      (_, number): Candidate => ({
        target: targetId(`target-${number}`),
        zone: zoneId('zone-a'),
        isOutOfService: false,
        isDraining: false,
        avoidUntilMs: 0,
        freeSlots: number % 4,
        freeKvTokens: 10_000,
        load: (number % 17) / 17,
        runsSuspect: false,
      }),
    );
    const list = createCandidateList(candidates);
    const base = {
      kvNeedTokens: 500,
      cachedOn: undefined,
      isSuspect: false,
      excluded: new Set<never>(),
    };
    const decide = (prefix: (call: number) => string) =>
      round(
        medianMicros(2_000, call =>
          chooseTarget(list, {...base, prefix: prefix(call)}, 0),
        ),
      );
    return {
      targets,
      least_loaded_us: decide(() => ''),
      by_prefix_us: decide(call => `prefix-${call % 500}`),
    };
  });
}

function measureQueue(): object[] {
  return [10, 100, 1_000].map(waiting => {
    const queue = createQueue();
    for (let number = 0; number < waiting; number += 1) {
      enqueue(
        queue,
        {
          request: requestId(`r${number}`),
          workspace: workspaceId(`w${number % 100}`),
          weight: 1,
          priority: 5,
          costTokens: 100,
          enqueuedAtMs: 0,
        },
        1e9,
        1e9,
      );
    }
    return {
      waiting,
      order_of_heads_us: round(
        medianMicros(300, () => headsInOrder(queue, 100)),
      ),
    };
  });
}

function announcement(number: number, service: string): Announcement {
  return {
    target: `target-${number}`,
    incarnation: 'i',
    zone: 'zone-a',
    service,
    address: '10.0.0.1',
    port: 8_000,
    models: [{model: 'model', version: '1'}],
    slots: 64,
    cold_slots: 4,
    kv_tokens: 1_000_000,
    is_warm: true,
    warm_for_ms: 1_000_000,
    load: {running: 0, waiting: 0, kv_used_tokens: 0, age_ms: 100},
  };
}

function reportOf(
  entry: number,
  sequence: number,
  lastResponse: ReportResponse | undefined,
): EntryReport {
  const held = (lastResponse?.allotments ?? []).filter(item => item.slots > 0);
  return {
    holder: holderId(`entry-${entry}/run`),
    instance: instanceId(`entry-${entry}`),
    zone: zoneId('zone-a'),
    sequence,
    held: held.map(item => ({
      ...item,
      incarnation: 'i',
      inUse: 0,
      kvInUse: 0,
      finished: 0,
    })),
    demand: [],
    announcements: [],
    deaths: [],
    clearedSuspects: [],
    inheritedQuarantine: [],
    waitingSuspects: [],
    runningSuspects: [],
    knownTargetsVersion: lastResponse?.targetsVersion ?? 0,
    knownQuarantineVersion: lastResponse?.quarantineVersion ?? -1,
  };
}

/** Measures the leader's time per heartbeat and the heartbeat's size. */
function measureLeader(): object[] {
  const sizes = [
    {entries: 9, targets: 13},
    {entries: 20, targets: 75},
    {entries: 40, targets: 150},
    {entries: 80, targets: 300},
  ];
  return sizes.map(({entries, targets}) => {
    const tables = createLeaderTables(-10_000, TIMING);
    for (let number = 0; number < targets; number += 1) {
      recordAnnouncement(tables, announcement(number, 'models'), 0);
    }
    const responses: Array<ReportResponse | undefined> = new Array<undefined>(
      entries,
    ).fill(undefined);
    let sequence = 0;
    const handleHeartbeat = (
      leaderTables: LeaderTables,
      entry: number,
      nowMs: number,
    ) => {
      sequence += 1;
      const report = reportOf(entry, sequence, responses[entry]);
      responses[entry] =
        handleReport(leaderTables, report, NOTHING_OUT, TIMING, nowMs) ??
        responses[entry];
      return report;
    };
    // Three rounds, after which every entry holds its share.
    for (let call = 0; call < 3 * entries; call += 1)
      handleHeartbeat(tables, call % entries, 10 + call);
    // One heartbeat a second from each entry, spread over the second.
    const micros = medianMicros(entries, call =>
      handleHeartbeat(
        tables,
        call % entries,
        1_000 + (call * MS_PER_S) / entries,
      ),
    );
    const reportBytes = JSON.stringify(reportOf(0, 1, responses[0])).length;
    const responseBytes = JSON.stringify(responses[0]).length;
    return {
      entries,
      targets,
      heartbeat_us: round(micros),
      leader_core_share_at_1_per_s: round((micros * entries) / 1_000_000, 4),
      report_bytes: reportBytes,
      orders_bytes: responseBytes,
    };
  });
}

function measureRules(): object[] {
  return [10, 300, 2_100].map(workspaces => {
    const text = baseRules(workspaces);
    const micros = medianMicros(5, () => parseRules(text));
    return {
      workspaces,
      rules_bytes: text.length,
      parse_ms: round(micros / MICROS_PER_MS),
    };
  });
}

/** Returns a state machine whose ledger holds this many completed records. */
function buildLedger(records: number): ControlStateMachine {
  const machine = new ControlStateMachine();
  const bounds = {
    maxRecords: 10_000_000,
    maxAnswerBytes: 1e9,
    retentionMs: 1e12,
  };
  for (let number = 0; number < records; number += 1) {
    const key = `workspace-${number % 2_100} desk key-${number}`;
    const id = claimId(
      `00000000-0000-0000-0000-${String(number).padStart(12, '0')}`,
    );
    const answer = {
      status: 200,
      contentType: 'application/json',
      bodyBase64: 'x'.repeat(80),
    };
    machine.apply(
      JSON.stringify({
        kind: 'claim',
        key,
        claimId: id,
        fingerprint: fingerprint('f'.repeat(64)),
        holder: 'entry-1/x',
        atMs: 0,
        bounds,
      }),
    );
    machine.apply(
      JSON.stringify({
        kind: 'complete',
        key,
        claimId: id,
        answer,
        atMs: 0,
        bounds,
      }),
    );
  }
  return machine;
}

function measureLedger(): object[] {
  return [10_000, 50_000, 200_000].map(records => {
    global.gc?.();
    const before = process.memoryUsage().heapUsed;
    const startedAt = performance.now();
    const machine = buildLedger(records);
    const applyUs =
      ((performance.now() - startedAt) * MICROS_PER_MS) / (2 * records);
    global.gc?.();
    const bytes = (process.memoryUsage().heapUsed - before) / records;
    const snapshotAt = performance.now();
    const snapshot = machine.snapshot();
    const snapshotMs = performance.now() - snapshotAt;
    const restoreAt = performance.now();
    new ControlStateMachine().restore(snapshot);
    const restoreMs = performance.now() - restoreAt;
    return {
      records,
      apply_us: round(applyUs),
      bytes_per_record: round(bytes, 0),
      snapshot_ms: round(snapshotMs, 0),
      snapshot_bytes_per_record: round(snapshot.length / records, 0),
      restore_ms: round(restoreMs, 0),
    };
  });
}

/** Measures opening a data folder whose log holds changes and no snapshot. */
async function measureRecovery(): Promise<object[]> {
  const results: object[] = [];
  for (const changes of [10, 1_000, 20_000, 100_000]) {
    const folder = mkdtempSync(join(tmpdir(), 'samphirefield-recovery-'));
    const opened = (await openFileStorage(folder))._unsafeUnwrap();
    const BATCH_ENTRIES = 500;
    for (let first = 1; first <= changes; first += BATCH_ENTRIES) {
      const entries = Array.from(
        {length: Math.min(BATCH_ENTRIES, changes - first + 1)},
        (_, offset): LogEntry => {
          const index = first + offset;
          const command = {
            kind: 'operator',
            commandId: commandId(`c${index}`),
            baseRevision: revision(index - 1),
            operator: 'bench',
            change: {kind: 'zone', zone: 'zone-a', isOut: index % 2 === 1},
            atMs: 0,
          };
          return {
            index,
            term: 1,
            kind: 'command',
            data: JSON.stringify(command),
          };
        },
      );
      await opened.storage.append({
        hardState: {term: 1, votedFor: replicaId('a/1')},
        entries,
      });
    }
    await opened.storage.close();
    const bytes = readdirSync(folder).reduce(
      (sum, name) => sum + statSync(join(folder, name)).size,
      0,
    );
    const startedAt = performance.now();
    const reopened = (await openFileStorage(folder))._unsafeUnwrap();
    const openMs = performance.now() - startedAt;
    const machine = new ControlStateMachine();
    const applyAt = performance.now();
    for (const entry of reopened.stored.entries) {
      if (entry.kind === 'command') machine.apply(entry.data);
    }
    results.push({
      changes,
      log_bytes: bytes,
      open_ms: round(openMs),
      apply_ms: round(performance.now() - applyAt),
    });
    await reopened.storage.close();
    rmSync(folder, {recursive: true});
  }
  return results;
}

function measureMemory(): object {
  return {
    stream_row_bytes: heapBytesPerItem(50_000, number => ({
      request: requestId(`00000000-0000-0000-0000-${number}`),
      workspace: workspaceId('w'),
      service: serviceId('s'),
      target: targetId('t'),
      incarnation: 'i',
      fingerprint: fingerprint(`${number}`.padStart(64, '0')),
      isSuspect: false,
      promptTokens: number,
      maxOutputTokens: 100,
      generatedTokens: 0,
      kvTokens: number,
    })),
    announcement_bytes: heapBytesPerItem(10_000, number =>
      announcement(number, `s${number}`),
    ),
    workspace_rule_bytes: round(
      heapBytesPerItem(1, () => parseRules(baseRules(2_100))._unsafeUnwrap()) /
        2_100,
      0,
    ),
  };
}

async function main(): Promise<void> {
  const result = {
    routing: measureRouting(),
    queue: measureQueue(),
    leader: measureLeader(),
    rules: measureRules(),
    memory: measureMemory(),
    ledger: measureLedger(),
    recovery: await measureRecovery(),
  };
  for (const [name, rows] of Object.entries(result)) {
    process.stderr.write(`${name}\n`);
    for (const row of Array.isArray(rows) ? rows : [rows]) {
      const text = Object.entries(row as Record<string, number>).map(
        ([key, value]) => `${key}=${value}`,
      );
      process.stderr.write(`  ${text.join(' ')}\n`);
    }
  }
  process.stdout.write(`${JSON.stringify(result, null, 2)}\n`);
}

await main();
