/**
 * Decides to which control daemons an entry keeps links: a few that differ from
 * entry to entry, so that each control daemon serves only some of the entries,
 * and the leader. Answers the load of links, keepalives and updates, which would
 * otherwise grow with entries times control daemons.
 *
 * The function gets the time as a parameter and does no input or output.
 */
import type {Address} from '../link/index.js';

/** What an entry knows of one control daemon. */
export interface ControlCandidate {
  readonly address: Address;
  /** Whether the entry keeps a link to it, connected or not. */
  readonly isLinked: boolean;
  /**
   * Since when the link is not connected, or the daemon knows no leader;
   * undefined while the daemon keeps the entry informed.
   */
  readonly uninformedSinceMs: number | undefined;
  /** Whether the entry waits for responses of the daemon. */
  readonly hasOpenRequests: boolean;
}

export interface ControlSelection {
  /** The daemons that should send this entry their updates. */
  readonly informants: readonly Address[];
  readonly open: readonly Address[];
  readonly close: readonly Address[];
}

/** Number of control daemons that keep an entry informed. */
export const INFORMANT_COUNT = 3;
/**
 * A daemon that does not inform the entry is replaced by the next one after this
 * time, which covers an ordinary connect and most of an election.
 */
export const REPLACE_UNINFORMED_AFTER_MS = 600;

function mayInform(candidate: ControlCandidate, nowMs: number): boolean {
  const {uninformedSinceMs} = candidate;
  if (uninformedSinceMs === undefined) return true;
  return nowMs - uninformedSinceMs < REPLACE_UNINFORMED_AFTER_MS;
}

/** Number of leading candidates among which `count` satisfy the condition. */
function prefixWith(
  candidates: readonly ControlCandidate[],
  count: number,
  condition: (candidate: ControlCandidate) => boolean,
): number {
  let found = 0;
  const last = candidates.findIndex(candidate => {
    if (condition(candidate)) found += 1;
    return found === count;
  });
  return last < 0 ? candidates.length : last + 1;
}

/**
 * Selects links to open and to close. `ranked` holds the candidates in the
 * entry's own order of preference; an untried candidate counts as informed.
 *
 * A link is closed only once enough preferred daemons inform the entry, and
 * never while the entry waits for a response on it.
 */
export function selectControls(
  ranked: readonly ControlCandidate[],
  leader: Address | undefined,
  nowMs: number,
): ControlSelection {
  const isLeader = ({address}: ControlCandidate) =>
    address.host === leader?.host && address.port === leader.port;
  const wanted = prefixWith(ranked, INFORMANT_COUNT, candidate =>
    mayInform(candidate, nowMs),
  );
  const sufficient = prefixWith(
    ranked,
    INFORMANT_COUNT,
    ({isLinked, uninformedSinceMs}) =>
      isLinked && uninformedSinceMs === undefined,
  );
  const open = ranked.filter(
    (candidate, position) =>
      !candidate.isLinked && (position < wanted || isLeader(candidate)),
  );
  const close = ranked.filter(
    (candidate, position) =>
      candidate.isLinked &&
      position >= sufficient &&
      !isLeader(candidate) &&
      !candidate.hasOpenRequests,
  );
  return {
    informants: ranked.slice(0, wanted).map(({address}) => address),
    open: open.map(({address}) => address),
    close: close.map(({address}) => address),
  };
}
