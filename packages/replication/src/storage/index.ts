export {openFileStorage, type OpenedStorage} from './file-storage.js';
export {decodeFrame, decodeFrames, encodeFrame} from './frame.js';
export {openIdentity, type Identity} from './identity.js';
export {lockFolder, type FolderLock} from './lock.js';
export {isLogEntry, parseLogBatch, parseSnapshot} from './records.js';
export {
  formatStorageError,
  type LogBatch,
  type ReplicaStorage,
  type StorageError,
  type StoredState,
} from './types.js';
