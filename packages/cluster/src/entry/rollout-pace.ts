/**
 * Spreads the requests that a rollout grants an entry over those that arrive, so
 * that an allowance is not spent as a burst. Without clock or network.
 */
import {FOCUS_FACTOR} from '@samphirefield/policy/rollouts';

/** Credit that is saved up while requests may not go to the new version. */
const MAX_CREDIT = 2;

export interface PaceShares {
  /** Part of the requests that go to the new version. */
  readonly sendShare: number;
  /** Routes that need more samples than the others. */
  readonly focusRoutes: readonly string[];
}

export class RolloutPace {
  private readonly credits = {focus: 0, other: 0};

  /** `first`: in [0, 1), so that entries with few requests begin apart. */
  constructor(first: number) {
    this.credits.other = first;
  }

  /** Whether this request goes to the new version. */
  take(
    route: string | undefined,
    {sendShare, focusRoutes}: PaceShares,
  ): boolean {
    const hasFocus = focusRoutes.length > 0;
    const isFocus = route !== undefined && focusRoutes.includes(route);
    const factor = isFocus ? FOCUS_FACTOR : hasFocus ? 0.5 : 1;
    const kind = isFocus ? 'focus' : 'other';
    const added = Math.min(1, sendShare * factor);
    const credit = Math.min(MAX_CREDIT, this.credits[kind] + added);
    const isTaken = credit >= 1;
    this.credits[kind] = isTaken ? credit - 1 : credit;
    return isTaken;
  }

  /** Takes back a request that went to the old version after all. */
  giveBack(): void {
    this.credits.other = Math.min(MAX_CREDIT, this.credits.other + 1);
  }
}
