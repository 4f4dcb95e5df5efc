export * from './permit-pool.js';
export * from './rate-limit-table.js';
export type * from './types.js';
