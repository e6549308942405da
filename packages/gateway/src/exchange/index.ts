export * from './body.js';
export * from './break-off.js';
export * from './exchange.js';
export * from './local-response.js';
export * from './http-message.js';
export type {PlannedStop} from './planned-stop.js';
export * from './run-observer.js';
export * from './types.js';
