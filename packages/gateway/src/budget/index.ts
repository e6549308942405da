export * from './retry-budget.js';
