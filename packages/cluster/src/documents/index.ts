export {
  applyDelta,
  diffDocuments,
  type DocumentDelta,
} from './document-delta.js';
export {DocumentHistory} from './document-history.js';
export {
  NO_VERSION,
  readUpdate,
  type DocumentUpdate,
  type UpdateError,
  type VersionedDocument,
} from './document-update.js';
