export * from './model-plan.js';
export type * from './types.js';
