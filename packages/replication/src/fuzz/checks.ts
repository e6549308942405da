/**
 * The invariants of every schedule: at most one leader per term, the same log
 * entries and states on all replicas, and linearizable responses.
 */
import type {LogEntry, ReplicaId} from '../raft/index.js';
import type {MachineState} from './machine.js';

export class InvariantViolation extends Error {}

export interface Operation {
  readonly invokedAtMs: number;
  completedAtMs: number | undefined;
  position: number | undefined;
}

export interface Checker {
  readonly leaderOfTerm: Map<number, ReplicaId>;
  readonly entryAt: Map<number, string>;
  readonly stateHashAt: Map<number, number>;
  readonly operations: Operation[];
  reads: number;
}

export function createChecker(): Checker {
  return {
    leaderOfTerm: new Map(),
    entryAt: new Map(),
    stateHashAt: new Map(),
    operations: [],
    reads: 0,
  };
}

export function checkSingleLeader(
  checker: Checker,
  term: number,
  replica: ReplicaId,
): void {
  const previousLeader = checker.leaderOfTerm.get(term);
  if (previousLeader !== undefined && previousLeader !== replica) {
    throw new InvariantViolation(
      `term ${term} has two leaders, ${previousLeader} and ${replica}`,
    );
  }
  checker.leaderOfTerm.set(term, replica);
}

/**
 * Checks that all replicas apply the same log entry at an index, and reach the
 * same state by it.
 */
export function checkApplied(
  checker: Checker,
  entry: LogEntry,
  machine: MachineState,
): void {
  const text = JSON.stringify(entry);
  const previousEntry = checker.entryAt.get(entry.index);
  if (previousEntry !== undefined && previousEntry !== text) {
    throw new InvariantViolation(
      `index ${entry.index} was applied as ${previousEntry} and as ${text}`,
    );
  }
  checker.entryAt.set(entry.index, text);
  checkState(checker, entry.index, machine);
}

export function checkState(
  checker: Checker,
  index: number,
  machine: MachineState,
): void {
  const previousHash = checker.stateHashAt.get(index);
  if (previousHash !== undefined && previousHash !== machine.hash) {
    throw new InvariantViolation(
      `the state at index ${index} differs between replicas`,
    );
  }
  checker.stateHashAt.set(index, machine.hash);
}

/**
 * Checks linearizability: a command that completed before another one was
 * invoked precedes it in the order of execution.
 */
export function checkLinearizability(checker: Checker): void {
  const completed = checker.operations.filter(
    operation => operation.completedAtMs !== undefined,
  );
  const byCompletion = [...completed].sort(
    (a, b) => a.completedAtMs! - b.completedAtMs!,
  );
  const byInvocation = [...completed].sort(
    (a, b) => a.invokedAtMs - b.invokedAtMs,
  );
  let latestPosition = 0;
  let next = 0;
  for (const operation of byInvocation) {
    while (
      next < byCompletion.length &&
      byCompletion[next]!.completedAtMs! < operation.invokedAtMs
    ) {
      latestPosition = Math.max(latestPosition, byCompletion[next]!.position!);
      next += 1;
    }
    if (operation.position! <= latestPosition) {
      throw new InvariantViolation(
        `a command that was invoked later got position ${operation.position}, not after ${latestPosition}`,
      );
    }
  }
}

/** Checks that a read under the lease sees all commands completed before it. */
export function checkLeaseRead(
  checker: Checker,
  count: number,
  atMs: number,
): void {
  checker.reads += 1;
  const completedCount = checker.operations.reduce(
    (highest, operation) =>
      operation.completedAtMs !== undefined && operation.completedAtMs < atMs
        ? Math.max(highest, operation.position!)
        : highest,
    0,
  );
  if (count < completedCount) {
    throw new InvariantViolation(
      `a read under the lease saw ${count} commands, but ${completedCount} had completed`,
    );
  }
}
