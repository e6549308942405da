export {Scheduler} from './scheduler.js';
export type {Admission, AdmissionError, AdmissionRequest} from './types.js';
