export * from './types.js';
export {advertisedAddress, allotmentTiming, VoterHost} from './voter-host.js';
