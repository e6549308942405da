export {mountPlainApi, type PlainApiOptions} from './api.js';
export {Claims} from './claims.js';
