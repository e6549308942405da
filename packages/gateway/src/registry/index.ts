export * from './logic.js';
export * from './validate.js';
export * from './types.js';
export {versionId, type VersionId} from '@samphirefield/policy/rollouts';
