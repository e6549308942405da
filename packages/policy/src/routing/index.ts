export {rendezvousScore, hash32} from './hash.js';
export {chooseTarget} from './logic.js';
export {createCandidateList} from './ring.js';
export type {
  Candidate,
  CandidateList,
  RejectReason,
  RouteDecision,
  RoutedRequest,
  RouteReason,
  RunnerUp,
} from './types.js';
