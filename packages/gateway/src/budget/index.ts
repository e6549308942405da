export * from './budget.js';
