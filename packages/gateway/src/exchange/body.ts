/** The core's reader of request bodies, which counts them in the account. */
export {readBody, type BodyError} from '@samphirefield/core';
