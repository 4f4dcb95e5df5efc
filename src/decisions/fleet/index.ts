export type * from './fleet-message-types.js';
export * from './fleet-messages.js';
export * from './member-list.js';
export * from './permit-client.js';
export * from './placement-client.js';
export * from './retry-client.js';
export * from './retry-pool.js';
export * from './table-sync-tracker.js';
export type * from './types.js';
