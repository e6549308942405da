/** The operators' command line as a library. */
export {OperatorClient} from './client/index.js';
export {main} from './main.js';
