/** Checks the figures of a replay against the outcomes that its trace states. */
import type {TraceHead} from '../trace/index.js';
import type {ReplayFigures} from './recorder.js';

export interface OutcomeCheck {
  readonly name: string;
  readonly bound: number;
  readonly found: number;
  readonly isMet: boolean;
}

/** Returns one check for each bound that the trace states. */
export function checkOutcomes(
  head: TraceHead,
  figures: ReplayFigures,
): OutcomeCheck[] {
  const {outcomes} = head;
  const checks: OutcomeCheck[] = [];
  const atMost = (name: string, bound: number | undefined, found: number) => {
    if (bound !== undefined)
      checks.push({name, bound, found, isMet: found <= bound});
  };
  atMost('max_lost', outcomes.max_lost, figures.lost);
  atMost('max_above_bearing', outcomes.max_above_bearing, figures.aboveBearing);
  const share = figures.completed / Math.max(1, figures.requests);
  const minShare = outcomes.min_completed_share;
  if (minShare !== undefined) {
    checks.push({
      name: 'min_completed_share',
      bound: minShare,
      found: share,
      isMet: share >= minShare,
    });
  }
  if (figures.zoneFirstTokenP99Ms !== undefined) {
    const ratio =
      figures.zoneFirstTokenP99Ms / Math.max(1, figures.firstTokenP99Ms);
    atMost(
      'max_zone_first_token_ratio',
      outcomes.max_zone_first_token_ratio,
      ratio,
    );
  }
  return checks;
}
