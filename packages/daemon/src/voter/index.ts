export * from './types.js';
export {allotmentTiming, VoterHost} from './voter-host.js';
