/**
 * Runs one replica: passes inputs to the consensus core, carries out its
 * effects (store, send, apply), and returns the results of submitted commands.
 *
 * Inputs that arrive while the disk syncs are processed together afterwards, so
 * one sync covers many proposals (group commit).
 */
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {
  bootstrap,
  broadcastHeartbeats,
  compact,
  createRaft,
  currentMembership,
  estimateEntryBytes,
  hasNoEffects,
  holdsLease,
  lastIndex,
  membershipAt,
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
/**
 * A leader waits with a snapshot for followers that still need the entries, but
 * not beyond this multiple of the bytes after which one is due.
 */
const MAX_DELAY_FACTOR = 3;

export type SubmitError =
  | ProposeError
  /** Leadership was lost before the commit; the command may still be applied. */
  | {readonly kind: 'outcome_unknown'}
  | StoppedError;

export interface StoppedError {
  readonly kind: 'stopped';
  readonly reason: string;
}

export interface ReplicaNodeOptions<CommandResult> {
  readonly config: RaftConfig;
  readonly storage: ReplicaStorage;
  readonly stored: StoredState;
  readonly stateMachine: StateMachine<CommandResult>;
  readonly send: (envelopes: readonly Envelope[]) => void;
  readonly nowMs: () => number;
  /** Called once when the disk fails; the replica has stopped by then. */
  readonly onFailure: (error: Error) => void;
  /** Number of applied log entries after which a snapshot is taken. */
  readonly snapshotEveryEntries: number;
  /** The same by the bytes of the entries stored since the last snapshot. */
  readonly snapshotEveryBytes: number;
}

interface PendingCommand<CommandResult> {
  readonly term: number;
  readonly resolve: (result: Result<CommandResult, SubmitError>) => void;
}

interface Submission<CommandResult> {
  readonly command: string;
  readonly resolve: (result: Result<CommandResult, SubmitError>) => void;
}

function bytesOf(entries: readonly LogEntry[]): number {
  return entries.reduce((sum, entry) => sum + estimateEntryBytes(entry), 0);
}

export class ReplicaNode<CommandResult> {
  readonly raft: RaftState;
  private readonly inputs: Array<(nowMs: number) => void> = [];
  private submissions: Array<Submission<CommandResult>> = [];
  private readonly pendingCommands = new Map<
    number,
    PendingCommand<CommandResult>
  >();
  /** Settle the calls whose input is not processed when the node stops. */
  private readonly abortCalls = new Set<(error: StoppedError) => void>();
  private isRunning = false;
  private stopReason: string | undefined;
  private idle: Promise<void> = Promise.resolve();
  /** Bytes of the entries written to the log since the last snapshot. */
  private storedBytes: number;

  constructor(private readonly options: ReplicaNodeOptions<CommandResult>) {
    const {config, stored, stateMachine, nowMs} = options;
    this.raft = createRaft(config, stored, nowMs());
    this.storedBytes = bytesOf(stored.entries);
    if (stored.snapshot) stateMachine.restore(stored.snapshot.data);
  }

  get id(): ReplicaId {
    return this.options.config.id;
  }

  get membership(): Membership {
    return currentMembership(this.raft);
  }

  /** The latest membership that no new leader can undo. */
  get committedMembership(): Membership {
    return membershipAt(this.raft, this.raft.commitIndex);
  }

  /** Whether this replica was ever a member of a group. */
  get hasJoinedGroup(): boolean {
    return lastIndex(this.raft.log) > 0;
  }

  get isLeader(): boolean {
    return this.stopReason === undefined && this.raft.role === 'leader';
  }

  /** Returns whether the leader lease proves that the applied state is current. */
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

  /** Resolves once the command is applied here, or with the reason why not. */
  submit(command: string): Promise<Result<CommandResult, SubmitError>> {
    return new Promise(resolve => {
      if (this.stopReason !== undefined) {
        resolve(err({kind: 'stopped', reason: this.stopReason}));
        return;
      }
      this.submissions.push({command, resolve});
      this.startProcessing();
    });
  }

  changeMembership(
    change: MembershipChange,
  ): Promise<Result<void, ProposeError | StoppedError>> {
    return this.call<Result<void, ProposeError | StoppedError>>(
      nowMs =>
        proposeMembershipChange(this.raft, nowMs, change).map(() => undefined),
      error => err(error),
    );
  }

  transferLeadership(): Promise<ReplicaId | undefined> {
    return this.call(
      nowMs => transferLeadership(this.raft, nowMs),
      () => undefined,
    );
  }

  /**
   * Returns whether this replica was still the leader after the call began, and
   * has applied all committed log entries: a quorum responded to a message that
   * was sent since then. Unlike the lease, this is correct even if the clock
   * stops while the machine is suspended.
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
      const hasCommittedInTerm =
        this.raft.commitIndex >= this.raft.termStartIndex;
      const hasQuorumContact = quorumContactAtMs(this.raft) > startedAtMs;
      if (hasCommittedInTerm && hasQuorumContact)
        return this.raft.appliedIndex >= this.raft.commitIndex;
    }
    return false;
  }

  /** Creates a new group. Each of its initial members does this on its own. */
  bootstrap(
    membership: Membership,
  ): Promise<Result<void, ProposeError | StoppedError>> {
    return this.call<Result<void, ProposeError | StoppedError>>(
      () => bootstrap(this.raft, membership),
      error => err(error),
    );
  }

  /** Fails pending commands, waits for the last write, closes the storage. */
  async stop(reason: string): Promise<void> {
    this.halt(reason);
    await this.idle;
    await this.options.storage.close();
  }

  /** Runs an input; resolves with `onStopped` if the node stops before. */
  private call<T>(
    input: (nowMs: number) => T,
    onStopped: (error: StoppedError) => T,
  ): Promise<T> {
    return new Promise(resolve => {
      const abort = (error: StoppedError) => resolve(onStopped(error));
      if (this.stopReason !== undefined) {
        abort({kind: 'stopped', reason: this.stopReason});
        return;
      }
      this.abortCalls.add(abort);
      this.enqueue(nowMs => {
        this.abortCalls.delete(abort);
        resolve(input(nowMs));
      });
    });
  }

  private enqueue(input: (nowMs: number) => void): void {
    if (this.stopReason !== undefined) return;
    this.inputs.push(input);
    this.startProcessing();
  }

  private startProcessing(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.idle = this.processInputs().catch((error: unknown) => {
      this.halt((error as Error).message);
      this.options.onFailure(error as Error);
    });
  }

  private async processInputs(): Promise<void> {
    // Inputs that arrive in the same event loop turn share the first step.
    await Promise.resolve();
    while (this.inputs.length > 0 || this.submissions.length > 0) {
      if (this.stopReason !== undefined) break;
      this.stepInputs();
      await this.executeEffects();
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
      this.pendingCommands.set(index, {term, resolve});
    });
  }

  private async executeEffects(): Promise<void> {
    let effects = takeEffects(this.raft);
    while (!hasNoEffects(effects)) {
      await this.executeStepEffects(effects);
      if (this.stopReason !== undefined) return;
      effects = takeEffects(this.raft);
    }
    if (this.raft.role !== 'leader') {
      this.failPendingCommands({kind: 'outcome_unknown'});
    }
    await this.compactIfDue();
  }

  private async executeStepEffects(effects: RaftEffects): Promise<void> {
    const {send, nowMs, stateMachine} = this.options;
    if (effects.sendNow.length > 0) send(effects.sendNow);
    const syncedIndex = lastIndex(this.raft.log);
    if (effects.persist) await this.persist(effects.persist);
    if (this.stopReason !== undefined) return;
    if (effects.sendAfterPersist.length > 0) send(effects.sendAfterPersist);
    if (effects.restore) stateMachine.restore(effects.restore.data);
    this.applyEntries(effects.apply);
    if (effects.persist) stepPersisted(this.raft, nowMs(), syncedIndex);
  }

  private async persist(batch: PersistBatch): Promise<void> {
    const {storage} = this.options;
    const {log, term, votedFor} = this.raft;
    if (batch.snapshot) {
      this.storedBytes = bytesOf(log.entries);
      await storage.replaceWithSnapshot(batch.snapshot, {term, votedFor}, [
        ...log.entries,
      ]);
      return;
    }
    this.storedBytes += bytesOf(batch.entries);
    await storage.append({hardState: batch.hardState, entries: batch.entries});
  }

  private applyEntries(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      const pending = this.pendingCommands.get(entry.index);
      this.pendingCommands.delete(entry.index);
      if (entry.kind !== 'command') {
        pending?.resolve(err({kind: 'outcome_unknown'}));
        continue;
      }
      const result = this.options.stateMachine.apply(entry.data, entry.index);
      if (!pending) continue;
      const isSameCommand = pending.term === entry.term;
      pending.resolve(
        isSameCommand ? ok(result) : err({kind: 'outcome_unknown'}),
      );
    }
  }

  private async compactIfDue(): Promise<void> {
    const {raft, options} = this;
    if (!this.isCompactionDue()) return;
    compact(raft, raft.appliedIndex, options.stateMachine.snapshot());
    const {persist} = takeEffects(raft);
    if (persist) await this.persist(persist);
  }

  private isCompactionDue(): boolean {
    const {raft, options, storedBytes} = this;
    const {snapshotEveryEntries, snapshotEveryBytes} = options;
    const entriesSinceSnapshot = raft.appliedIndex - snapshotIndex(raft.log);
    if (entriesSinceSnapshot === 0) return false;
    if (entriesSinceSnapshot >= snapshotEveryEntries) return true;
    if (storedBytes < snapshotEveryBytes) return false;
    const isOverdue = storedBytes >= snapshotEveryBytes * MAX_DELAY_FACTOR;
    return isOverdue || !this.isEntryAwaited();
  }

  /** Whether a follower that responds lacks an entry that is applied here. */
  private isEntryAwaited(): boolean {
    const {raft, options} = this;
    const activeSinceMs = options.nowMs() - raft.config.electionTimeoutMaxMs;
    return [...raft.progress.values()].some(
      ({lastContactAtMs, matchIndex}) =>
        lastContactAtMs > activeSinceMs && matchIndex < raft.appliedIndex,
    );
  }

  private halt(reason: string): void {
    if (this.stopReason !== undefined) return;
    this.stopReason = reason;
    const error = {kind: 'stopped' as const, reason};
    for (const {resolve} of this.submissions.splice(0)) resolve(err(error));
    for (const abort of this.abortCalls) abort(error);
    this.abortCalls.clear();
    this.failPendingCommands({kind: 'outcome_unknown'});
  }

  private failPendingCommands(error: SubmitError): void {
    for (const {resolve} of this.pendingCommands.values()) resolve(err(error));
    this.pendingCommands.clear();
  }
}
