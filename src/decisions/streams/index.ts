export * from './answer-buffer.js';
export * from './pending-cancellations.js';
export * from './planned-stop.js';
export * from './relay-limits.js';
export type * from './relay-session-types.js';
export * from './relay-session.js';
export * from './stream-sequencer.js';
export type * from './types.js';
