/** Changes that operators order at a control daemon. */
import type {Logger} from '@samphirefield/core';
import type {GroupAccess} from './group-access.js';
import type {SubmitOutcome} from './group-replica.js';
import type {RolloutKeeper} from './rollout-keeper.js';
import type {RolloutRequest, StartRolloutCommand} from './rollout-state.js';
import type {ClusterCommand} from './state-machine.js';

export type ChangeOutcome = 'accepted' | 'unavailable';
/** `conflict`: another rollout of the service is in progress. */
export type RolloutOrderOutcome = ChangeOutcome | 'conflict';

export interface OperatorChangesOptions {
  readonly access: GroupAccess;
  readonly rollouts: RolloutKeeper;
  readonly isLeader: () => boolean;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Unix time (ms), about the same at all daemons. */
  readonly wallMs: () => number;
}

const reasonOf = (outcome: SubmitOutcome) =>
  outcome.kind === 'unknown' ? outcome.reason : undefined;

export class OperatorChanges {
  constructor(private readonly options: OperatorChangesOptions) {}

  async change(command: ClusterCommand): Promise<ChangeOutcome> {
    const {access, logger, nowMs} = this.options;
    const startedAtMs = nowMs();
    const outcome = await access.submit(command);
    logger.info('change', {
      change: command.kind,
      version: command.kind === 'put_config' ? command.version : undefined,
      zone: command.kind === 'set_zone' ? command.zone : undefined,
      out: command.kind === 'set_zone' ? command.isOut : undefined,
      outcome: outcome.kind,
      reason: reasonOf(outcome),
      took_ms: Math.round(nowMs() - startedAtMs),
    });
    return outcome.kind === 'applied' ? 'accepted' : 'unavailable';
  }

  async startRollout(request: RolloutRequest): Promise<RolloutOrderOutcome> {
    const {access, rollouts, isLeader, logger, wallMs} = this.options;
    const {service, target, durationMs} = request;
    const command: StartRolloutCommand = {
      kind: 'start_rollout',
      ...request,
      orderedAtMs: wallMs(),
    };
    const outcome = isLeader()
      ? await rollouts.start(command)
      : await access.forward('start_rollout', command);
    const answer = outcome.kind === 'applied' ? outcome.answer.kind : undefined;
    logger.info('rollout_order', {
      service,
      target,
      duration_ms: durationMs,
      outcome: answer ?? outcome.kind,
      reason: reasonOf(outcome),
    });
    if (answer === undefined) return 'unavailable';
    return answer === 'conflict' ? 'conflict' : 'accepted';
  }
}
