export * from './engine.js';
export * from './plain-service.js';
export * from './prefix-hash.js';
export type * from './types.js';
