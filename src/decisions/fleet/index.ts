export * from './fleet-messages.js';
export * from './member-list.js';
export * from './place-client.js';
export * from './table-belief.js';
export type * from './types.js';
