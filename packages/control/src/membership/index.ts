export {
  planMembership,
  type CandidateView,
  type MemberView,
  type MembershipGoal,
  type MembershipStep,
} from './planner.js';
