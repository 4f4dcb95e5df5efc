export * from './token-buffer.js';
export * from './pending-cancellations.js';
export * from './graceful-stop.js';
export * from './relay-limits.js';
export type * from './relay-session-types.js';
export * from './relay-session.js';
export * from './stream-sequencer.js';
export type * from './types.js';
