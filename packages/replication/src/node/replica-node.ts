/**
 * Runs one replica: feeds inputs to the consensus core, stores, sends and
 * applies what it asks for, and answers those who proposed.
 *
 * Inputs that come in while the disk syncs are handled together afterwards, so
 * one sync carries many proposals (group commit).
 */
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {
  bootstrap,
  broadcastHeartbeats,
  compact,
  createRaft,
  currentMembership,
  hasNoEffects,
  holdsLease,
  lastIndex,
  propose,
  proposeMembershipChange,
  quorumContactAtMs,
  snapshotIndex,
  stepMessage,
  stepPersisted,
  stepTick,
  takeEffects,
  transferLeadership,
  type Envelope,
  type LogEntry,
  type Membership,
  type MembershipChange,
  type PersistBatch,
  type ProposeError,
  type RaftConfig,
  type RaftEffects,
  type RaftMessage,
  type RaftState,
  type ReplicaId,
} from '../raft/index.js';
import type {ReplicaStorage, StoredState} from '../storage/index.js';
import type {StateMachine} from './state-machine.js';

const CONFIRM_POLL_MS = 3;

export type SubmitError =
  | ProposeError
  /** The leadership was lost first: the command may or may not come to apply. */
  | {readonly kind: 'outcome_unknown'}
  | {readonly kind: 'stopped'; readonly reason: string};

export interface ReplicaNodeOptions<CommandResult> {
  readonly config: RaftConfig;
  readonly storage: ReplicaStorage;
  readonly stored: StoredState;
  readonly stateMachine: StateMachine<CommandResult>;
  readonly send: (envelopes: readonly Envelope[]) => void;
  readonly nowMs: () => number;
  /** Called once when the disk fails: this replica takes part no more. */
  readonly onFailure: (error: Error) => void;
  /** Log entries after which a snapshot is taken. */
  readonly snapshotEveryEntries: number;
}

interface Waiter<CommandResult> {
  readonly term: number;
  readonly resolve: (result: Result<CommandResult, SubmitError>) => void;
}

interface Submission<CommandResult> {
  readonly command: string;
  readonly resolve: (result: Result<CommandResult, SubmitError>) => void;
}

export class ReplicaNode<CommandResult> {
  readonly raft: RaftState;
  private readonly inputs: Array<(nowMs: number) => void> = [];
  private submissions: Array<Submission<CommandResult>> = [];
  private readonly waiters = new Map<number, Waiter<CommandResult>>();
  private isRunning = false;
  private stopReason: string | undefined;
  private idle: Promise<void> = Promise.resolve();

  constructor(private readonly options: ReplicaNodeOptions<CommandResult>) {
    const {config, stored, stateMachine: machine, nowMs} = options;
    this.raft = createRaft(config, stored, nowMs());
    if (stored.snapshot) machine.restore(stored.snapshot.data);
  }

  get id(): ReplicaId {
    return this.options.config.id;
  }

  get membership(): Membership {
    return currentMembership(this.raft);
  }

  /** Whether this replica was ever part of a group. */
  get hasJoinedGroup(): boolean {
    return lastIndex(this.raft.log) > 0;
  }

  get isLeader(): boolean {
    return this.stopReason === undefined && this.raft.role === 'leader';
  }

  /** Whether the applied state is proven to be the newest. */
  holdsLease(): boolean {
    if (this.stopReason !== undefined) return false;
    return holdsLease(this.raft, this.options.nowMs());
  }

  tick(): void {
    this.enqueue(nowMs => stepTick(this.raft, nowMs));
  }

  receive(from: ReplicaId, message: RaftMessage): void {
    this.enqueue(nowMs => stepMessage(this.raft, nowMs, from, message));
  }

  /** Resolves once the command was applied here, or says why it was not. */
  submit(command: string): Promise<Result<CommandResult, SubmitError>> {
    return new Promise(resolve => {
      if (this.stopReason !== undefined) {
        resolve(err({kind: 'stopped', reason: this.stopReason}));
        return;
      }
      this.submissions.push({command, resolve});
      this.run();
    });
  }

  changeMembership(
    change: MembershipChange,
  ): Promise<Result<void, ProposeError>> {
    return new Promise(resolve => {
      this.enqueue(nowMs => {
        resolve(
          proposeMembershipChange(this.raft, nowMs, change).map(
            () => undefined,
          ),
        );
      });
    });
  }

  transferLeadership(): Promise<ReplicaId | undefined> {
    return new Promise(resolve => {
      this.enqueue(nowMs => resolve(transferLeadership(this.raft, nowMs)));
    });
  }

  /**
   * Whether this replica still led after the call began: a quorum answered a
   * message that was sent since. Needs no clock that runs through a suspension.
   */
  async confirmLeadership(timeoutMs: number): Promise<boolean> {
    const {nowMs} = this.options;
    const startedAtMs = nowMs();
    this.enqueue(now => {
      if (this.raft.role === 'leader') broadcastHeartbeats(this.raft, now);
    });
    while (nowMs() - startedAtMs < timeoutMs) {
      await delay(CONFIRM_POLL_MS);
      if (!this.isLeader) return false;
      const isOpen = this.raft.commitIndex >= this.raft.termStartIndex;
      const isHeard = quorumContactAtMs(this.raft) > startedAtMs;
      if (isOpen && isHeard)
        return this.raft.appliedIndex >= this.raft.commitIndex;
    }
    return false;
  }

  /** Forms a new group, as each of its first members does by itself. */
  bootstrap(membership: Membership): Promise<Result<void, ProposeError>> {
    return new Promise(resolve => {
      this.enqueue(() => resolve(bootstrap(this.raft, membership)));
    });
  }

  /** Ends all waiting and lets the last write finish. */
  async stop(reason: string): Promise<void> {
    this.fail(reason);
    await this.idle;
    await this.options.storage.close();
  }

  private enqueue(input: (nowMs: number) => void): void {
    if (this.stopReason !== undefined) return;
    this.inputs.push(input);
    this.run();
  }

  private run(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.idle = this.drain().catch((error: unknown) => {
      this.fail((error as Error).message);
      this.options.onFailure(error as Error);
    });
  }

  private async drain(): Promise<void> {
    // Lets everything that arrived in this turn of the event loop join in.
    await Promise.resolve();
    while (this.inputs.length > 0 || this.submissions.length > 0) {
      if (this.stopReason !== undefined) break;
      this.stepInputs();
      await this.carryOut();
    }
    this.isRunning = false;
  }

  private stepInputs(): void {
    const nowMs = this.options.nowMs();
    for (const input of this.inputs.splice(0)) input(nowMs);
    this.proposeSubmissions(nowMs);
  }

  private proposeSubmissions(nowMs: number): void {
    const submissions = this.submissions;
    this.submissions = [];
    if (submissions.length === 0) return;
    const proposed = propose(
      this.raft,
      nowMs,
      submissions.map(item => item.command),
    );
    if (proposed.isErr()) {
      for (const {resolve} of submissions) resolve(err(proposed.error));
      return;
    }
    submissions.forEach(({resolve}, position) => {
      const {index, term} = proposed.value[position]!;
      this.waiters.set(index, {term, resolve});
    });
  }

  private async carryOut(): Promise<void> {
    let effects = takeEffects(this.raft);
    while (!hasNoEffects(effects)) {
      await this.carryOutOnce(effects);
      if (this.stopReason !== undefined) return;
      effects = takeEffects(this.raft);
    }
    if (this.raft.role !== 'leader') {
      this.failWaiters({kind: 'outcome_unknown'});
    }
    await this.maybeCompact();
  }

  private async carryOutOnce(effects: RaftEffects): Promise<void> {
    const {send, nowMs, stateMachine: machine} = this.options;
    if (effects.sendNow.length > 0) send(effects.sendNow);
    const syncedIndex = lastIndex(this.raft.log);
    if (effects.persist) await this.persist(effects.persist);
    if (this.stopReason !== undefined) return;
    if (effects.sendAfterPersist.length > 0) send(effects.sendAfterPersist);
    if (effects.restore) machine.restore(effects.restore.data);
    this.applyEntries(effects.apply);
    if (effects.persist) stepPersisted(this.raft, nowMs(), syncedIndex);
  }

  private async persist(batch: PersistBatch): Promise<void> {
    const {storage} = this.options;
    const {log, term, votedFor} = this.raft;
    if (batch.snapshot) {
      await storage.replaceWithSnapshot(batch.snapshot, {term, votedFor}, [
        ...log.entries,
      ]);
      return;
    }
    await storage.append({hardState: batch.hardState, entries: batch.entries});
  }

  private applyEntries(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      const waiter = this.waiters.get(entry.index);
      this.waiters.delete(entry.index);
      if (entry.kind !== 'command') {
        waiter?.resolve(err({kind: 'outcome_unknown'}));
        continue;
      }
      const answer = this.options.stateMachine.apply(entry.data, entry.index);
      if (!waiter) continue;
      const isOurs = waiter.term === entry.term;
      waiter.resolve(isOurs ? ok(answer) : err({kind: 'outcome_unknown'}));
    }
  }

  private async maybeCompact(): Promise<void> {
    const {raft, options} = this;
    const applied = raft.appliedIndex - snapshotIndex(raft.log);
    if (applied < options.snapshotEveryEntries) return;
    compact(raft, raft.appliedIndex, options.stateMachine.snapshot());
    const {persist} = takeEffects(raft);
    if (persist) await this.persist(persist);
  }

  private fail(reason: string): void {
    if (this.stopReason !== undefined) return;
    this.stopReason = reason;
    const error = {kind: 'stopped' as const, reason};
    for (const {resolve} of this.submissions.splice(0)) resolve(err(error));
    this.failWaiters({kind: 'outcome_unknown'});
  }

  private failWaiters(error: SubmitError): void {
    for (const {resolve} of this.waiters.values()) resolve(err(error));
    this.waiters.clear();
  }
}
