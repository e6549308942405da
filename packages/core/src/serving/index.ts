export {createClientAccount} from './client-account.js';
export {enableCollections, noteReceived} from './collect-buffers.js';
export {ConnectionGuard} from './connection-guard.js';
export {leaseOf, type MemoryLease} from './lease.js';
export {PacedReader, pieceLength} from './paced-reader.js';
export {bodyBlocks, readBody, type BodyError} from './read-body.js';
export {TurnScheduler, type TurnTaker} from './turn-scheduler.js';
