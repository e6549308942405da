/** Reads a request's body up to a limit. */
export {readBody, type BodyError} from '@samphirefield/core';
