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

export function planMembership(
  members: readonly MemberView[],
  candidates: readonly CandidateView[],
  goal: MembershipGoal,
): MembershipStep | undefined {
  const voters = members.filter(member => member.role === 'voter');
  const learners = members.filter(member => member.role === 'learner');
  const isUnavailable = (member: MemberView) =>
    isLost(member, goal) || isSuperseded(member, candidates, members);
  const unavailableVoters = voters.filter(isUnavailable);
  const healthyVoterCount = voters.length - unavailableVoters.length;

  const unavailableLearner = learners.find(
    member => isLost(member, goal) || isSuperseded(member, candidates, []),
  );
  if (unavailableLearner)
    return {kind: 'remove', replica: unavailableLearner.replica};

  const readyLearner = learners.find(
    member =>
      member.lagEntries <= goal.maxLagEntries &&
      member.silentMs < goal.replaceAfterMs,
  );
  // Once a replacement is ready, an unavailable voter only raises the quorum. A
  // voter whose disk is lost for good is removed even while the group has fewer
  // voters than configured.
  const replaceable =
    voters.length >= goal.voters
      ? unavailableVoters[0]
      : unavailableVoters.find(member =>
          isSuperseded(member, candidates, members),
        );
  if (readyLearner && replaceable) {
    return {kind: 'remove', replica: replaceable.replica};
  }
  if (readyLearner && voters.length < goal.voters) {
    return {kind: 'promote', replica: readyLearner.replica};
  }
  if (healthyVoterCount + learners.length >= goal.voters) return undefined;
  const healthy = voters.filter(member => !isUnavailable(member));
  const rankedCandidates = [...candidates].sort(
    (a, b) =>
      rankCandidate(a, healthy, goal) - rankCandidate(b, healthy, goal) ||
      a.replica.localeCompare(b.replica),
  );
  const best = rankedCandidates[0];
  return best && {kind: 'add_learner', replica: best.replica};
}
