export * from './default-limits.js';
export * from './row-store.js';
export type * from './types.js';
