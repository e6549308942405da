export {mountAnnounceApi} from './announce-api.js';
export {
  TargetClient,
  type TargetResponse,
  type TargetAddress,
  type TargetError,
} from './target-client.js';
export {readFully, TargetStream} from './target-stream.js';
