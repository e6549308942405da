export {
  AGING_INTERVAL_MS,
  createQueue,
  enqueue,
  headsInOrder,
  overdueRequests,
  removeRequest,
  dequeue,
  waitingCount,
} from './logic.js';
export type {
  EnqueueError,
  FairQueue,
  QueuedRequest,
  StampedRequest,
} from './types.js';
