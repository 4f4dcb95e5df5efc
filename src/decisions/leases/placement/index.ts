export * from './model-demand.js';
export * from './model-plan.js';
export * from './repair-plan.js';
export type * from './types.js';
