export * from './header-pairs.js';
export * from './target-link.js';
export type * from './types.js';
