export {mountPlainApi, type PlainApiOptions} from './api.js';
export {LedgerClient} from './ledger-client.js';
