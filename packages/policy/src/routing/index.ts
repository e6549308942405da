export {affinityOf, hash32} from './hash.js';
export {chooseTarget, loadOf} from './logic.js';
export type {
  Candidate,
  RejectReason,
  RouteDecision,
  RoutedRequest,
  RunnerUp,
} from './types.js';
