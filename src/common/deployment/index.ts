export * from './default-limits.js';
export * from './incarnation.js';
export * from './row-store.js';
export * from './store-revision.js';
export * from './socket-address.js';
export type * from './types.js';
