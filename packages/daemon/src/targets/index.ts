export {mountAnnounceApi} from './announce-api.js';
export {
  TargetClient,
  type OpenStream,
  type TargetAddress,
  type TargetError,
} from './target-client.js';
export {readWhole, TargetStream} from './target-stream.js';
