/**
 * Keeps the wanted number of voters alive: decides the next single change of
 * the membership from what the leader sees. Takes in a replacement before it
 * lets a dead voter go, so the quorum never grows meanwhile.
 */

/** A member as the leader sees it. */
export interface MemberView {
  readonly replica: string;
  readonly instance: string;
  readonly zone: string | undefined;
  readonly role: 'voter' | 'learner';
  readonly silentMs: number;
  /** Entries that it has yet to store. */
  readonly lagEntries: number;
}

/** A daemon with a disk that is no member. */
export interface CandidateView {
  readonly replica: string;
  readonly instance: string;
  readonly zone: string;
}

export interface MembershipGoal {
  readonly voters: number;
  /** Instances whose settings name them as voters; they go first. */
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

/** A member whose instance came back with another disk is gone for good. */
function isSuperseded(
  member: MemberView,
  candidates: readonly CandidateView[],
  members: readonly MemberView[],
): boolean {
  const isReborn = (other: {instance: string; replica: string}) =>
    other.instance === member.instance && other.replica !== member.replica;
  if (candidates.some(isReborn)) return true;
  return members.some(other => isReborn(other) && other.role === 'learner');
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
  const isGone = (member: MemberView) =>
    isLost(member, goal) || isSuperseded(member, candidates, members);
  const goneVoters = voters.filter(isGone);
  const healthyVoters = voters.length - goneVoters.length;

  const goneLearner = learners.find(
    member => isLost(member, goal) || isSuperseded(member, candidates, []),
  );
  if (goneLearner) return {kind: 'remove', replica: goneLearner.replica};

  const ready = learners.find(
    member =>
      member.lagEntries <= goal.maxLagEntries &&
      member.silentMs < goal.replaceAfterMs,
  );
  // With its replacement at hand a dead voter only raises the quorum. One whose
  // disk is lost for good goes also where more voters are wanted.
  const replaceable =
    voters.length >= goal.voters
      ? goneVoters[0]
      : goneVoters.find(member => isSuperseded(member, candidates, members));
  if (ready && replaceable) {
    return {kind: 'remove', replica: replaceable.replica};
  }
  if (ready && voters.length < goal.voters) {
    return {kind: 'promote', replica: ready.replica};
  }
  if (healthyVoters + learners.length >= goal.voters) return undefined;
  const healthy = voters.filter(member => !isGone(member));
  const byRank = [...candidates].sort(
    (a, b) =>
      rankCandidate(a, healthy, goal) - rankCandidate(b, healthy, goal) ||
      a.replica.localeCompare(b.replica),
  );
  const best = byRank[0];
  return best && {kind: 'add_learner', replica: best.replica};
}
