/**
 * The replicated part of rollouts: the newest rollout of each service, and which
 * versions of its targets may serve. Pure functions of commands.
 */
import type {ServiceId} from '@samphirefield/core';
import type {VersionId} from '@samphirefield/policy/rollouts';

export type RolloutEnd = 'completed' | 'rolled_back';

/** What an operator ordered: orders that agree in all three are the same. */
export interface RolloutRequest {
  readonly service: ServiceId;
  readonly target: VersionId;
  readonly durationMs: number;
}

export interface StartRolloutCommand extends RolloutRequest {
  readonly kind: 'start_rollout';
  /** Unix time (ms) at which a daemon received the order. */
  readonly orderedAtMs: number;
}

export interface EndRolloutCommand {
  readonly kind: 'end_rollout';
  readonly service: ServiceId;
  /** The rollout that ends, by the log entry that started it. */
  readonly startIndex: number;
  readonly outcome: RolloutEnd;
  readonly reason: string;
}

export type RolloutCommand = StartRolloutCommand | EndRolloutCommand;

/** The newest rollout of a service. */
export interface Rollout extends RolloutRequest {
  /** Index of the log entry that started it; identifies it. */
  readonly startIndex: number;
  readonly orderedAtMs: number;
  readonly state: 'running' | RolloutEnd;
  /** Why it ended; missing while it runs. */
  readonly reason?: string;
  /**
   * The version of the last completed rollout. Only it serves, apart from the
   * target of this rollout while that runs.
   */
  readonly only?: VersionId;
  /** Versions that were rolled back and get no requests. */
  readonly refused: readonly VersionId[];
}

export type RolloutOutcome = 'changed' | 'unchanged' | 'conflict';

export interface RolloutChange {
  readonly outcome: RolloutOutcome;
  readonly rollouts: readonly Rollout[];
}

export function findRollout(
  rollouts: readonly Rollout[],
  service: ServiceId,
): Rollout | undefined {
  return rollouts.find(rollout => rollout.service === service);
}

/** Whether the order is the one that started the rollout. */
export function isSameOrder(rollout: Rollout, order: RolloutRequest): boolean {
  return (
    rollout.service === order.service &&
    rollout.target === order.target &&
    rollout.durationMs === order.durationMs
  );
}

export function applyRolloutCommand(
  rollouts: readonly Rollout[],
  command: RolloutCommand,
  index: number,
): RolloutChange {
  const known = findRollout(rollouts, command.service);
  const others = rollouts.filter(item => item !== known);
  const change =
    command.kind === 'start_rollout'
      ? startRollout(known, command, index)
      : endRollout(known, command);
  if (typeof change === 'string') return {outcome: change, rollouts};
  return {outcome: 'changed', rollouts: [...others, change]};
}

function startRollout(
  known: Rollout | undefined,
  command: StartRolloutCommand,
  index: number,
): Rollout | 'unchanged' | 'conflict' {
  const {service, target, durationMs, orderedAtMs} = command;
  if (known && isSameOrder(known, command)) return 'unchanged';
  if (known?.state === 'running') return 'conflict';
  // A daemon that was frozen may submit an order that was superseded meanwhile.
  if (known && orderedAtMs < known.orderedAtMs) return 'conflict';
  const only = known?.only;
  return {
    service,
    target,
    durationMs,
    orderedAtMs,
    startIndex: index,
    refused: known?.refused ?? [],
    ...(only !== undefined && {only}),
    ...(only === target
      ? {state: 'completed', reason: 'serves_already'}
      : {state: 'running'}),
  };
}

function endRollout(
  known: Rollout | undefined,
  {startIndex, outcome, reason}: EndRolloutCommand,
): Rollout | 'unchanged' {
  if (known?.state !== 'running' || known.startIndex !== startIndex)
    return 'unchanged';
  const {target} = known;
  const others = known.refused.filter(version => version !== target);
  return outcome === 'completed'
    ? {...known, state: outcome, reason, only: target, refused: []}
    : {...known, state: outcome, reason, refused: [...others, target]};
}

/** How a version of a service's targets may be used. */
export type VersionUse =
  /** Gets requests without a limit. */
  | 'open'
  /** Gets only the requests that a running rollout grants. */
  | 'granted'
  | 'closed';

/** `rollout`: the newest of the service; undefined if there was none. */
export function useOfVersion(
  rollout: Rollout | undefined,
  version: VersionId | undefined,
): VersionUse {
  if (rollout === undefined) return 'open';
  const {state, target, only, refused} = rollout;
  if (state === 'running' && version === target) return 'granted';
  if (only !== undefined) return version === only ? 'open' : 'closed';
  const isRefused = version !== undefined && refused.includes(version);
  return isRefused ? 'closed' : 'open';
}

/** Whether a completed rollout stopped the version. */
export function isStopped(
  rollout: Rollout,
  version: VersionId | undefined,
): boolean {
  const hasStopped = rollout.only !== undefined;
  return hasStopped && useOfVersion(rollout, version) === 'closed';
}
