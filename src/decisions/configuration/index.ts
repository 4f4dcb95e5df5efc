export {checkChange} from './configuration-codec.js';
export * from './configuration-follower.js';
export type * from './configuration-history.js';
export * from './configuration-reader.js';
export * from './configuration-store.js';
export * from './fleet-configuration.js';
export * from './setting-schemas.js';
export type * from './types.js';
