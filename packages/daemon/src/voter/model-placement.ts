/** Plans orders to load models and sends them to targets, fenced by epoch. */
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

const ORDER_IN_FLIGHT_MS = 5_000;
const LOAD_INTERVAL_MS = 2_000;
const MAX_CONCURRENT_LOADS = 2;
const LOAD_TIMEOUT_MS = 300_000;

/** Whether, by the rules, a target rejects stale epochs and unknown senders. */
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
  readonly previousLeaseMs: number;
}

export class ModelPlacement {
  private readonly table = createPlacementTable();

  constructor(private readonly options: ModelPlacementOptions) {}

  tick(rows: ReadonlyMap<string, TargetRow>, nowMs: number): void {
    const rules = this.options.rules.current();
    if (rules === undefined || rules.models.size === 0) return;
    const desiredModels: DesiredModel[] = [...rules.models.values()];
    const targets = [...rows.values()].map(row => toPlaceable(rules, row));
    const order = nextLoadOrder(
      this.table,
      desiredModels,
      targets,
      this.timing(),
      nowMs,
    );
    const row = order && rows.get(order.target);
    if (order && row) void this.sendOrder(order, row);
  }

  private timing(): PlacementTiming {
    const {epoch, leaderSinceMs, previousLeaseMs} = this.options;
    return {
      epoch,
      leaderSinceMs,
      previousLeaseMs,
      orderInFlightMs: ORDER_IN_FLIGHT_MS,
      loadIntervalMs: LOAD_INTERVAL_MS,
      maxConcurrentLoads: MAX_CONCURRENT_LOADS,
      loadTimeoutMs: LOAD_TIMEOUT_MS,
    };
  }

  private async sendOrder(order: LoadOrder, row: TargetRow): Promise<void> {
    const {logger, send} = this.options;
    const sent = await send(order, row.announcement, ORDER_IN_FLIGHT_MS);
    const outcome = sent.isOk() ? 'accepted' : sent.error;
    logger.info('place', {
      target: order.target,
      model: order.model,
      version: order.version,
      epoch: order.epoch,
      reason: 'model_missing',
      outcome,
    });
    // An order that may have arrived stays issued until the target's state
    // shows the load or the order times out.
    if (sent.isErr() && sent.error !== 'lost')
      withdrawLoadOrder(this.table, order);
  }
}
