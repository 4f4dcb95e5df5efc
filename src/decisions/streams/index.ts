export * from './relay-session.js';
export * from './stream-sequencer.js';
export type * from './types.js';
