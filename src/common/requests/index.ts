export * from './header-pairs.js';
export * from './misdirected-status.js';
export * from './prompt-part-ids.js';
export * from './target-client.js';
export type * from './types.js';
