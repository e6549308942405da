/** The leader's orders to targets: plans them and sends them, fenced. */
import type {Logger, RuleSet, TargetRule} from '@samphirefield/core';
import {
  createPlacementTable,
  nextLoadOrder,
  withdrawLoadOrder,
  type LoadOrder,
  type DesiredModel,
  type PlaceableTarget,
  type PlacementTiming,
  type TargetRow,
} from '@samphirefield/policy';
import type {ActiveRules} from './active-rules.js';
import type {OrderSender} from './types.js';

const ORDER_UNDER_WAY_MS = 5_000;
const LOAD_GAP_MS = 2_000;
const MAX_LOADS = 2;
const LOAD_TIMEOUT_MS = 300_000;

/** Whether a target refuses old epochs and strangers, by the rules. */
export function validatesOrders(rules: RuleSet, row: TargetRow): boolean {
  const applies = (rule: TargetRule) =>
    (rule.target === undefined || rule.target === row.target) &&
    (rule.service === undefined || rule.service === row.announcement.service);
  return rules.targets
    .filter(applies)
    .every(rule => rule.checksFencing && rule.checksSender);
}

function toPlaceable(rules: RuleSet, row: TargetRow): PlaceableTarget {
  const {announcement} = row;
  return {
    target: row.target,
    incarnation: announcement.incarnation,
    service: announcement.service as PlaceableTarget['service'],
    isUsable: !row.isExpired && announcement.leaving_in_ms === undefined,
    running: announcement.load.running,
    models: announcement.models,
    lastSeenAtMs: row.lastSeenAtMs,
    validatesOrders: validatesOrders(rules, row),
  };
}

export interface ModelPlacementOptions {
  readonly rules: ActiveRules;
  readonly logger: Logger;
  readonly send: OrderSender;
  readonly epoch: number;
  readonly leaderSinceMs: number;
  readonly oldLeaseMs: number;
}

export class ModelPlacement {
  private readonly table = createPlacementTable();

  constructor(private readonly options: ModelPlacementOptions) {}

  tick(rows: ReadonlyMap<string, TargetRow>, nowMs: number): void {
    const rules = this.options.rules.current();
    if (rules === undefined || rules.models.size === 0) return;
    const wishes: DesiredModel[] = [...rules.models.values()];
    const targets = [...rows.values()].map(row => toPlaceable(rules, row));
    const order = nextLoadOrder(
      this.table,
      wishes,
      targets,
      this.timing(),
      nowMs,
    );
    const row = order && rows.get(order.target);
    if (order && row) void this.give(order, row);
  }

  private timing(): PlacementTiming {
    const {epoch, leaderSinceMs, oldLeaseMs} = this.options;
    return {
      epoch,
      leaderSinceMs,
      previousLeaseMs: oldLeaseMs,
      orderInFlightMs: ORDER_UNDER_WAY_MS,
      loadIntervalMs: LOAD_GAP_MS,
      maxConcurrentLoads: MAX_LOADS,
      loadTimeoutMs: LOAD_TIMEOUT_MS,
    };
  }

  private async give(order: LoadOrder, row: TargetRow): Promise<void> {
    const {logger, send} = this.options;
    const sent = await send(order, row.announcement, ORDER_UNDER_WAY_MS);
    const outcome = sent.isOk() ? 'accepted' : sent.error;
    logger.info('place', {
      target: order.target,
      model: order.model,
      version: order.version,
      epoch: order.epoch,
      reason: 'model_missing',
      outcome,
    });
    // An order that may have arrived stays issued until it shows or times out.
    if (sent.isErr() && sent.error !== 'lost')
      withdrawLoadOrder(this.table, order);
  }
}
