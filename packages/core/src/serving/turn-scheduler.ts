/**
 * Divides the event loop among connections that have received more than they
 * may handle at once: in each turn of the loop they get a bounded time together,
 * one after the other, so that they do not delay timers, links between daemons
 * and other callers.
 */

/** Time of one turn of the loop for reading all connections. */
const MAX_TURN_MS = 8;
/** Time of one connection in a turn. */
const MAX_SHARE_MS = 2;

export interface TurnTaker {
  /** Handles a small piece; returns whether more is left. */
  step(): boolean;
}

export interface TurnClock {
  readonly nowMs: () => number;
  /** Calls the function in the next turn of the loop. */
  readonly nextTurn: (run: () => void) => void;
}

const LOOP_CLOCK: TurnClock = {
  nowMs: () => performance.now(),
  nextTurn: run => {
    setImmediate(run);
  },
};

export class TurnScheduler {
  private readonly waiting = new Set<TurnTaker>();
  private usedMs = 0;
  private isTurnPlanned = false;

  constructor(private readonly clock: TurnClock = LOOP_CLOCK) {}

  /** Handles what the taker has, at once if the turn has time left. */
  run(taker: TurnTaker): void {
    if (this.waiting.has(taker)) return;
    if (this.usedMs >= MAX_TURN_MS || this.takeShare(taker))
      this.waiting.add(taker);
    this.planTurn();
  }

  remove(taker: TurnTaker): void {
    this.waiting.delete(taker);
  }

  /** Returns whether the taker has more after its share of this turn. */
  private takeShare(taker: TurnTaker): boolean {
    const startedAtMs = this.clock.nowMs();
    let usedMs = 0;
    let hasMore = true;
    while (hasMore && usedMs < MAX_SHARE_MS) {
      hasMore = taker.step();
      usedMs = this.clock.nowMs() - startedAtMs;
    }
    this.usedMs += usedMs;
    return hasMore;
  }

  private planTurn(): void {
    if (this.isTurnPlanned) return;
    this.isTurnPlanned = true;
    this.clock.nextTurn(() => this.runTurn());
  }

  private runTurn(): void {
    this.isTurnPlanned = false;
    this.usedMs = 0;
    // Takers that get no share in this turn come first in the next.
    for (const taker of [...this.waiting]) {
      if (this.usedMs >= MAX_TURN_MS) break;
      if (!this.waiting.delete(taker)) continue;
      if (this.takeShare(taker)) this.waiting.add(taker);
    }
    if (this.waiting.size > 0) this.planTurn();
  }
}
