/**
 * The demands that wait for a target. Answers overload: more demands than the
 * targets can take.
 *
 * Demands that can still be served in time go first, the most urgent priority
 * before the others, and the workspaces of a priority in turn. A demand that has
 * missed its time goes behind all that have not: served first, it would make
 * them late too. Each priority of each service has a line of its own, so that a
 * large demand at the head of one does not hold up the small ones of another.
 *
 * Adding, removing and finding the next demand take time in the number of
 * priorities and of workspaces that wait, not in the number of demands.
 */
import type {InstanceId, RequestId, ServiceId} from '@samphirefield/core';
import type {Demand} from './types.js';

export interface PendingDemand {
  readonly demand: Demand;
  readonly sinceMs: number;
  isOverdue: boolean;
}

const NO_WORKSPACE = '';

/** The demands of one priority: first in, first out within a workspace. */
class Line {
  private readonly byWorkspace = new Map<
    string,
    Map<RequestId, PendingDemand>
  >();
  size = 0;

  add(item: PendingDemand): void {
    const {workspace = NO_WORKSPACE, request} = item.demand;
    const items = this.byWorkspace.get(workspace) ?? new Map();
    items.set(request, item);
    this.byWorkspace.set(workspace, items);
    this.size += 1;
  }

  remove({demand}: PendingDemand): void {
    const {workspace = NO_WORKSPACE, request} = demand;
    const items = this.byWorkspace.get(workspace);
    if (!items?.delete(request)) return;
    this.size -= 1;
    if (items.size === 0) this.byWorkspace.delete(workspace);
  }

  /** The oldest demand of the workspace whose turn it is. */
  get first(): PendingDemand | undefined {
    for (const items of this.byWorkspace.values()) {
      for (const item of items.values()) return item;
    }
    return undefined;
  }

  /** Gives the turn to the next workspace. */
  passTurn(): void {
    for (const [workspace, items] of this.byWorkspace) {
      this.byWorkspace.delete(workspace);
      this.byWorkspace.set(workspace, items);
      return;
    }
  }

  /** The oldest demand of each workspace. */
  *oldest(): Iterable<PendingDemand> {
    for (const items of this.byWorkspace.values()) {
      for (const item of items.values()) {
        yield item;
        break;
      }
    }
  }
}

interface ServiceLines {
  readonly inTime: Map<number, Line>;
  readonly overdue: Map<number, Line>;
}

function lineOf(lines: Map<number, Line>, priority: number): Line {
  const line = lines.get(priority) ?? new Line();
  lines.set(priority, line);
  return line;
}

function byPriority(lines: Map<number, Line>): Line[] {
  return [...lines]
    .filter(([, line]) => line.size > 0)
    .sort(([a], [b]) => a - b)
    .map(([, line]) => line);
}

export class DemandQueue {
  private readonly items = new Map<RequestId, PendingDemand>();
  private readonly services = new Map<ServiceId, ServiceLines>();

  get size(): number {
    return this.items.size;
  }

  add(demand: Demand, nowMs: number): void {
    const item = {demand, sinceMs: nowMs, isOverdue: false};
    this.items.set(demand.request, item);
    lineOf(this.linesOf(demand.service).inTime, demand.priority).add(item);
  }

  has(request: RequestId): boolean {
    return this.items.has(request);
  }

  remove(request: RequestId): void {
    const item = this.items.get(request);
    if (item === undefined) return;
    this.items.delete(request);
    this.lineOfItem(item).remove(item);
  }

  /** Removes and returns the demands of an entry, or all. */
  withdraw(entry?: InstanceId): Demand[] {
    return this.withdrawThose(
      demand => entry === undefined || demand.entry === entry,
    );
  }

  /** Removes and returns the demands for a service. */
  withdrawOf(service: ServiceId): Demand[] {
    return this.withdrawThose(demand => demand.service === service);
  }

  private withdrawThose(isWithdrawn: (demand: Demand) => boolean): Demand[] {
    const withdrawn = [...this.items.values()]
      .map(({demand}) => demand)
      .filter(isWithdrawn);
    for (const {request} of withdrawn) this.remove(request);
    return withdrawn;
  }

  /** The demands waiting for a service with at least this urgency. */
  countAhead(service: ServiceId, priority: number): number {
    let count = 0;
    const {inTime, overdue} = this.linesOf(service);
    for (const lines of [inTime, overdue]) {
      for (const [other, line] of lines) {
        if (other <= priority) count += line.size;
      }
    }
    return count;
  }

  /** Whether a demand in time of at least this urgency waits. */
  hasInTime(service: ServiceId, priority: number): boolean {
    for (const [other, line] of this.linesOf(service).inTime) {
      if (other <= priority && line.size > 0) return true;
    }
    return false;
  }

  /** The demands whose wait is over, as `isOver` decides. */
  overWait(
    isOver: (demand: Demand, waitedMs: number) => boolean,
    nowMs: number,
  ): Demand[] {
    return [...this.items.values()]
      .filter(({demand, sinceMs}) => isOver(demand, nowMs - sinceMs))
      .map(({demand}) => demand);
  }

  /**
   * Offers demands in their order until none can be granted: `tryGrant` returns
   * whether it granted the demand, which is then removed.
   */
  offer(tryGrant: (item: PendingDemand) => boolean, nowMs: number): void {
    for (const {inTime, overdue} of this.services.values()) {
      this.moveOverdue(inTime, overdue, nowMs);
      for (const lines of [inTime, overdue]) {
        for (const line of byPriority(lines)) this.offerLine(line, tryGrant);
      }
    }
  }

  private offerLine(
    line: Line,
    tryGrant: (item: PendingDemand) => boolean,
  ): void {
    for (;;) {
      const item = line.first;
      if (item === undefined || !tryGrant(item)) return;
      line.passTurn();
      this.remove(item.demand.request);
    }
  }

  private moveOverdue(
    inTime: Map<number, Line>,
    overdue: Map<number, Line>,
    nowMs: number,
  ): void {
    for (const [priority, line] of inTime) {
      for (;;) {
        const late = [...line.oldest()].filter(
          item => nowMs - item.sinceMs > item.demand.inTimeMs,
        );
        if (late.length === 0) break;
        for (const item of late) {
          line.remove(item);
          item.isOverdue = true;
          lineOf(overdue, priority).add(item);
        }
      }
    }
  }

  private linesOf(service: ServiceId): ServiceLines {
    const lines = this.services.get(service) ?? {
      inTime: new Map<number, Line>(),
      overdue: new Map<number, Line>(),
    };
    this.services.set(service, lines);
    return lines;
  }

  private lineOfItem({demand, isOverdue}: PendingDemand): Line {
    const {inTime, overdue} = this.linesOf(demand.service);
    return lineOf(isOverdue ? overdue : inTime, demand.priority);
  }
}
