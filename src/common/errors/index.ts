export * from './problem-error.js';
export type * from './types.js';
