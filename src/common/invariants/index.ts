export * from './invariant-monitor.js';
export type * from './types.js';
