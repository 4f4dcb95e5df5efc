export * from './model-plan.js';
export * from './repair-plan.js';
export type * from './types.js';
