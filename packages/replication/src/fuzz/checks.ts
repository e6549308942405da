/**
 * What must hold in every schedule: one leader a term, the same entries and
 * states everywhere, and answers that one sequential order explains.
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
  const known = checker.leaderOfTerm.get(term);
  if (known !== undefined && known !== replica) {
    throw new InvariantViolation(
      `term ${term} has two leaders, ${known} and ${replica}`,
    );
  }
  checker.leaderOfTerm.set(term, replica);
}

/** Every replica applies the same entry at an index, and reaches the same state. */
export function checkApplied(
  checker: Checker,
  entry: LogEntry,
  machine: MachineState,
): void {
  const text = JSON.stringify(entry);
  const known = checker.entryAt.get(entry.index);
  if (known !== undefined && known !== text) {
    throw new InvariantViolation(
      `index ${entry.index} was applied as ${known} and as ${text}`,
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
  const known = checker.stateHashAt.get(index);
  if (known !== undefined && known !== machine.hash) {
    throw new InvariantViolation(
      `the state at index ${index} differs between replicas`,
    );
  }
  checker.stateHashAt.set(index, machine.hash);
}

/** Answers have to respect real time: what ended first stands first. */
export function checkLinearizability(checker: Checker): void {
  const answered = checker.operations.filter(
    operation => operation.completedAtMs !== undefined,
  );
  const byAnswer = [...answered].sort(
    (a, b) => a.completedAtMs! - b.completedAtMs!,
  );
  const byInvocation = [...answered].sort(
    (a, b) => a.invokedAtMs - b.invokedAtMs,
  );
  let latestPlace = 0;
  let next = 0;
  for (const operation of byInvocation) {
    while (
      next < byAnswer.length &&
      byAnswer[next]!.completedAtMs! < operation.invokedAtMs
    ) {
      latestPlace = Math.max(latestPlace, byAnswer[next]!.position!);
      next += 1;
    }
    if (operation.position! <= latestPlace) {
      throw new InvariantViolation(
        `a command that came later was put at ${operation.position}, before ${latestPlace}`,
      );
    }
  }
}

/** A read under the lease sees every command that was answered before it. */
export function checkLeaseRead(
  checker: Checker,
  count: number,
  atMs: number,
): void {
  checker.reads += 1;
  const answered = checker.operations.reduce(
    (most, operation) =>
      operation.completedAtMs !== undefined && operation.completedAtMs < atMs
        ? Math.max(most, operation.position!)
        : most,
    0,
  );
  if (count < answered) {
    throw new InvariantViolation(
      `a read under the lease saw ${count} commands, ${answered} were answered`,
    );
  }
}
