export type * from './fleet-message-types.js';
export * from './fleet-messages.js';
export * from './member-list.js';
export * from './place-client.js';
export * from './retry-client.js';
export * from './retry-pool.js';
export * from './table-belief.js';
export type * from './types.js';
