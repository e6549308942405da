export {assignRelayPeers, RELAY_PEER_COUNTS} from './logic.js';
export type {RelayMember, RelayPeerCounts} from './types.js';
