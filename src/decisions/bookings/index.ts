export * from './booking-coordinator.js';
export * from './booking-key.js';
export type * from './types.js';
