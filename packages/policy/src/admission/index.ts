export * from './growth.js';
export * from './pace.js';
export * from './queue.js';
export * from './service-admission.js';
export * from './types.js';
export * from './work.js';
