export * from './types.js';
export {advertisedAddress, allocationTiming, VoterHost} from './voter-host.js';
