export {
  AGEING_MS,
  createQueue,
  enqueue,
  headsInOrder,
  overdue,
  remove,
  start,
  waitingOf,
} from './logic.js';
export type {
  EnqueueError,
  FairQueue,
  QueuedRequest,
  StampedRequest,
} from './types.js';
