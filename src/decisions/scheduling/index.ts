export * from './engine-placement.js';
export * from './generation-queue.js';
export * from './generation-scheduler.js';
export * from './memory-forecast.js';
export * from './run-registry.js';
export * from './service-memory.js';
export type * from './types.js';
