export {RpcClient, type PeerAddress, type RpcError} from './client.js';
export * from './schemas.js';
export {RpcServer} from './server.js';
