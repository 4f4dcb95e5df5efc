export * from './target-link.js';
export type * from './types.js';
