/**
 * Plans the next single membership change that brings the control group to its
 * configured number of healthy voters. A replacement joins as a learner before
 * a lost voter is removed, so the quorum never grows in between.
 */

/** A member of the group as the leader observes it. */
export interface MemberView {
  readonly replica: string;
  readonly instance: string;
  readonly zone: string | undefined;
  readonly role: 'voter' | 'learner';
  readonly silentMs: number;
  /** Log entries that the member has not stored yet. */
  readonly lagEntries: number;
  /** Whether the member has announced that it stops. */
  readonly isLeaving?: boolean;
}

/** A daemon that can store a replica but is not a member. */
export interface CandidateView {
  readonly replica: string;
  readonly instance: string;
  readonly zone: string;
}

export interface MembershipGoal {
  readonly voters: number;
  /** Instances that the settings name as voters; they are added first. */
  readonly preferredInstances: readonly string[];
  readonly replaceAfterMs: number;
  readonly maxLagEntries: number;
}

export type MembershipStep =
  | {readonly kind: 'add_learner'; readonly replica: string}
  | {readonly kind: 'promote'; readonly replica: string}
  | {readonly kind: 'remove'; readonly replica: string};

function isLost(member: MemberView, goal: MembershipGoal): boolean {
  return member.silentMs >= goal.replaceAfterMs;
}

/**
 * Returns whether the member's instance has come back with another disk, so
 * that this replica is lost for good.
 */
function isSuperseded(
  member: MemberView,
  candidates: readonly CandidateView[],
  members: readonly MemberView[],
): boolean {
  const isReplacement = (other: {instance: string; replica: string}) =>
    other.instance === member.instance && other.replica !== member.replica;
  if (candidates.some(isReplacement)) return true;
  return members.some(
    other => isReplacement(other) && other.role === 'learner',
  );
}

function rankCandidate(
  candidate: CandidateView,
  voters: readonly MemberView[],
  goal: MembershipGoal,
): number {
  const isPreferred = goal.preferredInstances.includes(candidate.instance);
  const sharesZone = voters.some(voter => voter.zone === candidate.zone);
  return (isPreferred ? 0 : 2) + (sharesZone ? 1 : 0);
}

function bestCandidate(
  candidates: readonly CandidateView[],
  voters: readonly MemberView[],
  goal: MembershipGoal,
): CandidateView | undefined {
  const ranked = [...candidates].sort(
    (a, b) =>
      rankCandidate(a, voters, goal) - rankCandidate(b, voters, goal) ||
      a.replica.localeCompare(b.replica),
  );
  return ranked[0];
}

function countByZone(voters: readonly MemberView[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {zone} of voters) {
    if (zone !== undefined) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
}

/**
 * Returns whether a voter in the zone, in place of one in the most crowded
 * zone, would spread the voters more evenly.
 */
function wouldSpread(
  zone: string | undefined,
  voters: readonly MemberView[],
): boolean {
  if (zone === undefined) return false;
  const counts = countByZone(voters);
  return Math.max(0, ...counts.values()) - (counts.get(zone) ?? 0) >= 2;
}

/** A voter of the most crowded zone; not the leader, which is never silent. */
function findSurplusVoter(voters: readonly MemberView[]): MemberView {
  const counts = countByZone(voters);
  const crowdOf = ({zone}: MemberView) => counts.get(zone ?? '') ?? 0;
  return [...voters].sort(
    (a, b) => crowdOf(b) - crowdOf(a) || b.silentMs - a.silentMs,
  )[0]!;
}

export function planMembership(
  members: readonly MemberView[],
  candidates: readonly CandidateView[],
  goal: MembershipGoal,
): MembershipStep | undefined {
  const voters = members.filter(member => member.role === 'voter');
  const learners = members.filter(member => member.role === 'learner');
  const isDead = (member: MemberView) =>
    isLost(member, goal) || isSuperseded(member, candidates, members);
  // A lost voter is removed before one that leaves, which still responds.
  const unavailableVoters = [
    ...voters.filter(isDead),
    ...voters.filter(member => member.isLeaving && !isDead(member)),
  ];
  const healthyVoterCount = voters.length - unavailableVoters.length;

  const unavailableLearner = learners.find(
    member =>
      isLost(member, goal) ||
      isSuperseded(member, candidates, []) ||
      member.isLeaving,
  );
  if (unavailableLearner)
    return {kind: 'remove', replica: unavailableLearner.replica};

  const [firstUnavailable] = unavailableVoters;
  if (firstUnavailable && healthyVoterCount >= goal.voters)
    return {kind: 'remove', replica: firstUnavailable.replica};

  const readyLearner = learners.find(
    member =>
      member.lagEntries <= goal.maxLagEntries &&
      member.silentMs < goal.replaceAfterMs,
  );
  // Once a replacement is ready, a lost voter only raises the quorum. A voter
  // whose disk is lost for good is removed even while the group has fewer
  // voters than configured.
  const replaceable =
    voters.length >= goal.voters
      ? firstUnavailable
      : unavailableVoters.find(member =>
          isSuperseded(member, candidates, members),
        );
  if (readyLearner && replaceable) {
    // A voter that leaves responds until it is replaced: with its replacement
    // as a further voter, the group bears a loss meanwhile.
    return isDead(replaceable)
      ? {kind: 'remove', replica: replaceable.replica}
      : {kind: 'promote', replica: readyLearner.replica};
  }
  const isWanted =
    readyLearner !== undefined &&
    (voters.length < goal.voters ||
      (voters.length === goal.voters &&
        wouldSpread(readyLearner.zone, voters)));
  if (isWanted) return {kind: 'promote', replica: readyLearner.replica};
  if (healthyVoterCount > goal.voters)
    return {kind: 'remove', replica: findSurplusVoter(voters).replica};

  const healthy = voters.filter(member => !unavailableVoters.includes(member));
  const best = bestCandidate(candidates, healthy, goal);
  if (best === undefined) return undefined;
  const isMissing = healthyVoterCount + learners.length < goal.voters;
  const isSpreading =
    learners.length === 0 &&
    healthyVoterCount === goal.voters &&
    wouldSpread(best.zone, voters);
  return isMissing || isSpreading
    ? {kind: 'add_learner', replica: best.replica}
    : undefined;
}
