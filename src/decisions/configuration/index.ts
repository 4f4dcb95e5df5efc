export * from './configuration-follower.js';
export * from './configuration-store.js';
export * from './fleet-configuration.js';
export * from './setting-schemas.js';
export type * from './types.js';
