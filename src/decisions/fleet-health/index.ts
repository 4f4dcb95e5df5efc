export * from './avoided-targets.js';
export * from './call-observer.js';
export * from './target-judge.js';
export type * from './types.js';
