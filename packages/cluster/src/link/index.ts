export {serializeNotification} from './lines.js';
export * from './links.js';
export * from './peer.js';
