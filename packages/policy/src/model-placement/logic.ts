/**
 * Plans loads of models, a few at a time.
 *
 * A target that does not check epochs could still obey an order of an earlier
 * leader. It gets none until every earlier order must have arrived, and then
 * only by a state that was heard after that.
 */
import type {
  LoadOrder,
  DesiredModel,
  PlaceableTarget,
  PlacementTable,
  PlacementTiming,
} from './types.js';

export function createPlacementTable(): PlacementTable {
  return {issued: new Map(), lastIssuedAtMs: Number.NEGATIVE_INFINITY};
}

function holds(target: PlaceableTarget, wish: DesiredModel): boolean {
  return target.models.some(
    held => held.model === wish.model && held.version === wish.version,
  );
}

/** Forgets orders that were carried out, ran into their end or lost their target. */
function removeSettledOrders(
  table: PlacementTable,
  targets: readonly PlaceableTarget[],
  timing: PlacementTiming,
  nowMs: number,
): void {
  const byId = new Map(targets.map(target => [target.target, target]));
  for (const [id, {order, issuedAtMs}] of table.issued) {
    const target = byId.get(id);
    const isLoaded = target?.models.some(
      held => held.model === order.model && held.version === order.version,
    );
    const isOver =
      target === undefined ||
      target.incarnation !== order.incarnation ||
      nowMs - issuedAtMs > timing.loadTimeoutMs;
    if (isLoaded || isOver) table.issued.delete(id);
  }
}

function mayOrder(
  target: PlaceableTarget,
  timing: PlacementTiming,
  nowMs: number,
): boolean {
  if (!target.isUsable) return false;
  if (target.validatesOrders) return true;
  const safeAtMs =
    timing.leaderSinceMs + timing.previousLeaseMs + timing.orderInFlightMs;
  return nowMs >= safeAtMs && target.lastSeenAtMs >= safeAtMs;
}

function candidatesOf(
  wish: DesiredModel,
  targets: readonly PlaceableTarget[],
  table: PlacementTable,
  timing: PlacementTiming,
  nowMs: number,
): PlaceableTarget[] {
  return targets
    .filter(
      target =>
        target.service === wish.service &&
        !holds(target, wish) &&
        !table.issued.has(target.target) &&
        mayOrder(target, timing, nowMs),
    )
    .sort((a, b) => a.running - b.running || a.target.localeCompare(b.target));
}

function missingOf(
  wish: DesiredModel,
  targets: readonly PlaceableTarget[],
  table: PlacementTable,
): number {
  const own = targets.filter(target => target.service === wish.service);
  const wanted = wish.targets === 0 ? own.length : wish.targets;
  const held = own.filter(
    target => target.isUsable && holds(target, wish),
  ).length;
  const loading = [...table.issued.values()].filter(
    ({order}) => order.model === wish.model && order.version === wish.version,
  ).length;
  return wanted - held - loading;
}

/** The next order, if one may be given now; it counts as issued. */
export function nextLoadOrder(
  table: PlacementTable,
  wishes: readonly DesiredModel[],
  targets: readonly PlaceableTarget[],
  timing: PlacementTiming,
  nowMs: number,
): LoadOrder | undefined {
  removeSettledOrders(table, targets, timing, nowMs);
  const isTooSoon = nowMs - table.lastIssuedAtMs < timing.loadIntervalMs;
  if (isTooSoon || table.issued.size >= timing.maxConcurrentLoads)
    return undefined;
  for (const wish of wishes) {
    if (missingOf(wish, targets, table) <= 0) continue;
    const [chosen] = candidatesOf(wish, targets, table, timing, nowMs);
    if (chosen === undefined) continue;
    const order: LoadOrder = {
      target: chosen.target,
      incarnation: chosen.incarnation,
      model: wish.model,
      version: wish.version,
      epoch: timing.epoch,
    };
    table.issued.set(chosen.target, {order, issuedAtMs: nowMs});
    table.lastIssuedAtMs = nowMs;
    return order;
  }
  return undefined;
}

/** Takes an order back that the target refused or never got. */
export function withdrawLoadOrder(
  table: PlacementTable,
  order: LoadOrder,
): void {
  if (table.issued.get(order.target)?.order === order) {
    table.issued.delete(order.target);
  }
}
