export * from './target-table.js';
export type * from './types.js';
