/**
 * Plans which target loads which model, a few loads at a time.
 *
 * A target that doesn't validate epochs could still carry out an order of an
 * earlier leader. Such a target gets no order until every earlier order must have
 * arrived, and then only based on a state that it announced after that time.
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

function hasModel(target: PlaceableTarget, desired: DesiredModel): boolean {
  return target.models.some(
    loaded =>
      loaded.model === desired.model && loaded.version === desired.version,
  );
}

/**
 * Removes orders that were carried out, timed out, or whose target is gone or
 * was restarted.
 */
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
      loaded =>
        loaded.model === order.model && loaded.version === order.version,
    );
    const isOutdated =
      target === undefined ||
      target.incarnation !== order.incarnation ||
      nowMs - issuedAtMs > timing.loadTimeoutMs;
    if (isLoaded || isOutdated) table.issued.delete(id);
  }
}

/** Whether the target may get an order now. */
function mayOrder(
  target: PlaceableTarget,
  timing: PlacementTiming,
  nowMs: number,
): boolean {
  if (!target.isUsable) return false;
  if (target.validatesOrders) return true;
  const safeAfterMs =
    timing.leaderSinceMs + timing.previousLeaseMs + timing.orderInFlightMs;
  return nowMs >= safeAfterMs && target.lastSeenAtMs >= safeAfterMs;
}

/** Returns the targets that may load the model, the least busy first. */
function candidatesOf(
  desired: DesiredModel,
  targets: readonly PlaceableTarget[],
  table: PlacementTable,
  timing: PlacementTiming,
  nowMs: number,
): PlaceableTarget[] {
  return targets
    .filter(
      target =>
        target.service === desired.service &&
        !hasModel(target, desired) &&
        !table.issued.has(target.target) &&
        mayOrder(target, timing, nowMs),
    )
    .sort((a, b) => a.running - b.running || a.target.localeCompare(b.target));
}

/** Returns on how many more targets the model has to be loaded. */
function missingOf(
  desired: DesiredModel,
  targets: readonly PlaceableTarget[],
  table: PlacementTable,
): number {
  const serviceTargets = targets.filter(
    target => target.service === desired.service,
  );
  const desiredCount =
    desired.targets === 0 ? serviceTargets.length : desired.targets;
  const loaded = serviceTargets.filter(
    target => target.isUsable && hasModel(target, desired),
  ).length;
  const serviceIds = new Set(serviceTargets.map(target => target.target));
  const loading = [...table.issued.values()].filter(
    ({order}) =>
      serviceIds.has(order.target) &&
      order.model === desired.model &&
      order.version === desired.version,
  ).length;
  return desiredCount - loaded - loading;
}

/**
 * Returns the next order if one may be issued now, and records it as issued. At
 * most `maxConcurrentLoads` are open at once, `loadIntervalMs` apart.
 */
export function nextLoadOrder(
  table: PlacementTable,
  desiredModels: readonly DesiredModel[],
  targets: readonly PlaceableTarget[],
  timing: PlacementTiming,
  nowMs: number,
): LoadOrder | undefined {
  removeSettledOrders(table, targets, timing, nowMs);
  const isTooSoon = nowMs - table.lastIssuedAtMs < timing.loadIntervalMs;
  if (isTooSoon || table.issued.size >= timing.maxConcurrentLoads)
    return undefined;
  for (const desired of desiredModels) {
    if (missingOf(desired, targets, table) <= 0) continue;
    const [chosen] = candidatesOf(desired, targets, table, timing, nowMs);
    if (chosen === undefined) continue;
    const order: LoadOrder = {
      target: chosen.target,
      incarnation: chosen.incarnation,
      model: desired.model,
      version: desired.version,
      epoch: timing.epoch,
    };
    table.issued.set(chosen.target, {order, issuedAtMs: nowMs});
    table.lastIssuedAtMs = nowMs;
    return order;
  }
  return undefined;
}

/** Withdraws an order that the target refused or did not receive. */
export function withdrawLoadOrder(
  table: PlacementTable,
  order: LoadOrder,
): void {
  if (table.issued.get(order.target)?.order === order) {
    table.issued.delete(order.target);
  }
}
