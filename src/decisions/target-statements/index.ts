export * from './closed-refusal.js';
export * from './target-statements.js';
export type * from './types.js';
