/**
 * A simulated cluster of replicas in virtual time: its network drops, delays,
 * duplicates and reorders messages, clocks drift, disks lose unsynced data, and
 * processes crash between write and sync. The seed determines the schedule.
 */
import {
  bootstrap,
  compact,
  createRaft,
  hasNoEffects,
  hasQuorum,
  holdsLease,
  lastIndex,
  propose,
  proposeMembershipChange,
  replicaId,
  stepMessage,
  stepPersisted,
  stepTick,
  takeEffects,
  transferLeadership,
  type Envelope,
  type MembershipChange,
  type RaftConfig,
  type RaftEffects,
  type RaftState,
  type Replica,
  type ReplicaId,
} from '../raft/index.js';
import {
  checkApplied,
  checkSingleLeader,
  checkLeaseRead,
  checkState,
  createChecker,
  type Checker,
  type Operation,
} from './checks.js';
import {createDisk, readDisk, writeBatch, type Disk} from './disk.js';
import {
  applyCommand,
  createMachine,
  restoreMachine,
  takeSnapshot,
  type MachineState,
} from './machine.js';
import {createRandom, type Random} from './random.js';

export const TICK_MS = 20;
const ELECTION_MIN_MS = 500;
const CLOCK_DRIFT_MS = 50;
/** The largest deviation of a clock's rate, in thousandths. */
const MAX_CLOCK_SKEW_PER_MILLE = 40;

interface Process {
  readonly id: ReplicaId;
  readonly raft: RaftState;
  machine: MachineState;
  /** Inputs that are queued while the disk syncs. */
  readonly inputs: Array<(nowMs: number) => void>;
  isSyncing: boolean;
  /** Completes the pending write to the disk. */
  completeWrite: (() => void) | undefined;
  readonly pendingOperations: Map<number, {term: number; operation: Operation}>;
}

export interface Host {
  readonly name: string;
  disk: Disk;
  replica: ReplicaId;
  diskCount: number;
  process: Process | undefined;
  /** The rate of the host's clock relative to virtual time, in thousandths. */
  readonly clockRatePerMille: number;
  readonly clockStartMs: number;
  isFrozen: boolean;
}

interface Event {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

export interface NetworkFaults {
  dropProbability: number;
  duplicateProbability: number;
  maxDelayMs: number;
}

export class SimulatedCluster {
  readonly random: Random;
  readonly checker: Checker = createChecker();
  readonly hosts: Host[] = [];
  readonly blockedLinks = new Set<string>();
  readonly faults: NetworkFaults = {
    dropProbability: 0,
    duplicateProbability: 0,
    maxDelayMs: 5,
  };
  nowMs = 0;
  maxSyncMs = 5;
  private readonly events: Event[] = [];
  private nextSequence = 0;
  private nextCommand = 0;

  constructor(seed: number, hostCount: number) {
    this.random = createRandom(seed);
    for (let number = 0; number < hostCount; number += 1) this.addHost(number);
  }

  private addHost(number: number): void {
    const name = `host-${number}`;
    const host: Host = {
      name,
      disk: createDisk(),
      replica: replicaId(`${name}/1`),
      diskCount: 1,
      process: undefined,
      clockRatePerMille: this.random.between(
        1_000 - MAX_CLOCK_SKEW_PER_MILLE,
        1_000 + MAX_CLOCK_SKEW_PER_MILLE,
      ),
      clockStartMs: this.random.below(100_000),
      isFrozen: false,
    };
    this.hosts.push(host);
  }

  /** Advances virtual time and runs the events that are due. */
  run(forMs: number): void {
    const untilMs = this.nowMs + forMs;
    while (this.events.length > 0 && this.events[0]!.atMs <= untilMs) {
      const event = this.popEvent();
      this.nowMs = event.atMs;
      event.run();
    }
    this.nowMs = untilMs;
  }

  start(host: Host): void {
    if (host.process) return;
    const raft = createRaft(
      this.raftConfig(host),
      readDisk(host.disk),
      this.localClockMs(host),
    );
    const {snapshot} = host.disk;
    const machine = snapshot ? restoreMachine(snapshot.data) : createMachine();
    host.process = {
      id: host.replica,
      raft,
      machine,
      inputs: [],
      isSyncing: false,
      completeWrite: undefined,
      pendingOperations: new Map(),
    };
    this.scheduleTick(host, host.process);
  }

  /** Stops the process; a pending write reaches the disk or is lost. */
  crash(host: Host): void {
    if (this.random.chance(0.5)) host.process?.completeWrite?.();
    host.process = undefined;
    host.isFrozen = false;
  }

  /** Crashes the host and gives it a new, empty disk. */
  replaceDisk(host: Host): void {
    this.crash(host);
    host.disk = createDisk();
    host.diskCount += 1;
    host.replica = replicaId(`${host.name}/${host.diskCount}`);
  }

  bootstrap(host: Host): void {
    this.start(host);
    this.enqueueInput(host, () => {
      bootstrap(host.process!.raft, {
        replicas: [this.replicaOf(host, 'voter')],
      });
    });
  }

  replicaOf(host: Host, role: Replica['role']): Replica {
    return {
      id: host.replica,
      instance: host.name,
      address: '127.0.0.1',
      port: 1,
      role,
    };
  }

  leaders(): Host[] {
    return this.hosts.filter(
      host => host.process?.raft.role === 'leader' && !host.isFrozen,
    );
  }

  /** Submits one new command to a host; its result is checked at the end. */
  submitCommand(host: Host): void {
    const operation: Operation = {
      invokedAtMs: this.nowMs,
      completedAtMs: undefined,
      position: undefined,
    };
    const command = `command-${this.nextCommand}`;
    this.nextCommand += 1;
    this.enqueueInput(host, nowMs => {
      const process = host.process!;
      const proposed = propose(process.raft, nowMs, [command]);
      if (proposed.isErr()) return;
      const {index, term} = proposed.value[0]!;
      process.pendingOperations.set(index, {term, operation});
      this.checker.operations.push(operation);
    });
  }

  changeMembership(host: Host, change: MembershipChange): void {
    this.enqueueInput(host, nowMs => {
      proposeMembershipChange(host.process!.raft, nowMs, change);
    });
  }

  transferLeadership(host: Host): void {
    this.enqueueInput(host, nowMs => {
      transferLeadership(host.process!.raft, nowMs);
    });
  }

  /** Reads the state of a host whose replica assumes that it holds the lease. */
  readUnderLease(host: Host): void {
    const process = host.process;
    if (!process || host.isFrozen) return;
    if (!holdsLease(process.raft, this.localClockMs(host))) return;
    checkLeaseRead(this.checker, process.machine.count, this.nowMs);
  }

  compact(host: Host): void {
    const process = host.process;
    if (!process || process.isSyncing || host.isFrozen) return;
    compact(
      process.raft,
      process.raft.appliedIndex,
      takeSnapshot(process.machine),
    );
    this.executeEffects(host, process);
  }

  freeze(host: Host, forMs: number): void {
    host.isFrozen = true;
    this.schedule(forMs, () => {
      host.isFrozen = false;
    });
  }

  /**
   * Returns whether a quorum still has its disks, both in the newest membership
   * and in the one before: until the newest is committed, both may be needed.
   */
  hasQuorumOfDisks(): boolean {
    const disks = this.hosts.map(host => host.disk);
    const newest = disks.reduce((best, disk) =>
      isMoreUpToDate(disk, best) ? disk : best,
    );
    const memberships = newest.entries.flatMap(entry =>
      entry.kind === 'membership' ? [entry.membership] : [],
    );
    if (newest.snapshot) memberships.unshift(newest.snapshot.membership);
    const requiredMemberships = memberships.slice(-2);
    return (
      requiredMemberships.length > 0 &&
      requiredMemberships.every(membership =>
        hasQuorum(membership, id =>
          this.hosts.some(host => host.replica === id),
        ),
      )
    );
  }

  private raftConfig(host: Host): RaftConfig {
    return {
      id: host.replica,
      heartbeatMs: 100,
      electionTimeoutMinMs: ELECTION_MIN_MS,
      electionTimeoutMaxMs: 1_000,
      clockDriftMs: CLOCK_DRIFT_MS,
      maxEntriesPerMessage: 3,
      maxBytesPerMessage: 200,
      maxMessagesInFlight: 4,
      maxBytesInFlight: 2_097_152,
      snapshotChunkBytes: 10,
      randomBelow: this.random.below,
    };
  }

  private localClockMs(host: Host): number {
    return host.clockStartMs + (this.nowMs * host.clockRatePerMille) / 1_000;
  }

  private scheduleTick(host: Host, process: Process): void {
    this.schedule(TICK_MS, () => {
      if (host.process !== process) return;
      if (!host.isFrozen)
        this.enqueueInput(host, nowMs => stepTick(process.raft, nowMs));
      this.scheduleTick(host, process);
    });
  }

  private enqueueInput(host: Host, run: (nowMs: number) => void): void {
    const {process} = host;
    if (!process) return;
    process.inputs.push(run);
    this.processInputs(host, process);
  }

  private processInputs(host: Host, process: Process): void {
    while (process.inputs.length > 0 && !process.isSyncing) {
      process.inputs.shift()!(this.localClockMs(host));
      this.executeEffects(host, process);
    }
  }

  private executeEffects(host: Host, process: Process): void {
    const effects = takeEffects(process.raft);
    if (hasNoEffects(effects)) return;
    if (process.raft.role === 'leader') {
      checkSingleLeader(this.checker, process.raft.term, process.id);
    }
    this.sendAll(effects.sendNow);
    if (effects.persist === undefined) {
      this.afterPersist(host, process, effects);
      return;
    }
    const {persist} = effects;
    const {entries} = process.raft.log;
    const logAfterSnapshot = [...entries];
    const syncedIndex = lastIndex(process.raft.log);
    const {disk} = host;
    process.isSyncing = true;
    process.completeWrite = () => writeBatch(disk, persist, logAfterSnapshot);
    this.schedule(this.random.below(this.maxSyncMs + 1), () => {
      if (host.process !== process) return;
      process.completeWrite?.();
      process.completeWrite = undefined;
      process.isSyncing = false;
      this.afterPersist(host, process, effects);
      stepPersisted(process.raft, this.localClockMs(host), syncedIndex);
      this.executeEffects(host, process);
      this.processInputs(host, process);
    });
  }

  private afterPersist(
    host: Host,
    process: Process,
    effects: RaftEffects,
  ): void {
    this.sendAll(effects.sendAfterPersist);
    if (effects.restore) {
      process.machine = restoreMachine(effects.restore.data);
      checkState(this.checker, effects.restore.index, process.machine);
    }
    for (const entry of effects.apply) {
      let position = 0;
      if (entry.kind === 'command')
        position = applyCommand(process.machine, entry.data);
      checkApplied(this.checker, entry, process.machine);
      const pending = process.pendingOperations.get(entry.index);
      if (pending === undefined) continue;
      process.pendingOperations.delete(entry.index);
      if (pending.term !== entry.term) continue;
      pending.operation.position = position;
      pending.operation.completedAtMs = this.nowMs;
    }
    void host;
  }

  private sendAll(envelopes: readonly Envelope[]): void {
    for (const envelope of envelopes) this.send(envelope);
  }

  private send(envelope: Envelope): void {
    const copies = this.random.chance(this.faults.duplicateProbability) ? 2 : 1;
    // Serializes the message, so that both ends have their own copy.
    const text = JSON.stringify(envelope);
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.random.chance(this.faults.dropProbability)) continue;
      const delayMs = 1 + this.random.below(this.faults.maxDelayMs);
      this.schedule(delayMs, () => this.deliver(JSON.parse(text) as Envelope));
    }
  }

  private deliver(envelope: Envelope): void {
    const from = envelope.from.split('/')[0]!;
    const host = this.hosts.find(item => item.replica === envelope.to);
    if (!host?.process || this.blockedLinks.has(`${from}>${host.name}`)) return;
    if (host.isFrozen) {
      this.schedule(TICK_MS, () => this.deliver(envelope));
      return;
    }
    this.enqueueInput(host, nowMs => {
      stepMessage(host.process!.raft, nowMs, envelope.from, envelope.message);
    });
  }

  schedule(afterMs: number, run: () => void): void {
    const event = {
      atMs: this.nowMs + afterMs,
      sequence: this.nextSequence,
      run,
    };
    this.nextSequence += 1;
    pushEvent(this.events, event);
  }

  private popEvent(): Event {
    return popEvent(this.events);
  }
}

function isMoreUpToDate(left: Disk, right: Disk): boolean {
  const position = (disk: Disk) => {
    const last = disk.entries.at(-1);
    return {
      term: last?.term ?? disk.snapshot?.term ?? 0,
      index: last?.index ?? disk.snapshot?.index ?? 0,
    };
  };
  const a = position(left);
  const b = position(right);
  return a.term !== b.term ? a.term > b.term : a.index > b.index;
}

function isEarlier(left: Event, right: Event): boolean {
  if (left.atMs !== right.atMs) return left.atMs < right.atMs;
  return left.sequence < right.sequence;
}

/** Adds an event to a binary heap, ordered by time and then by sequence. */
function pushEvent(heap: Event[], event: Event): void {
  heap.push(event);
  let at = heap.length - 1;
  while (at > 0) {
    const parent = (at - 1) >> 1;
    if (!isEarlier(heap[at]!, heap[parent]!)) return;
    [heap[at], heap[parent]] = [heap[parent]!, heap[at]!];
    at = parent;
  }
}

function popEvent(heap: Event[]): Event {
  const first = heap[0]!;
  const last = heap.pop()!;
  if (heap.length === 0) return first;
  heap[0] = last;
  let at = 0;
  for (;;) {
    const left = 2 * at + 1;
    if (left >= heap.length) return first;
    const right = left + 1;
    const isRightFirst =
      right < heap.length && isEarlier(heap[right]!, heap[left]!);
    const child = isRightFirst ? right : left;
    if (!isEarlier(heap[child]!, heap[at]!)) return first;
    [heap[at], heap[child]] = [heap[child]!, heap[at]!];
    at = child;
  }
}
