export {
  planMembership,
  wantedVoters,
  type CandidateView,
  type MemberView,
  type MembershipGoal,
  type MembershipStep,
} from './planner.js';
