export * from './engine.js';
export * from './plain-service.js';
export type * from './types.js';
