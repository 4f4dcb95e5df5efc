export * from './object-store.js';
export * from './table-service.js';
export type * from './types.js';
export * from './vm-list.js';
export * from './weight-store.js';
