export {mountOperatorApi} from './api.js';
export {createBootstrap, type ReplicaInfo} from './bootstrap.js';
