export * from './constants.js';
export * from './contract-ledger.js';
export * from './peer-usage.js';
export type * from './types.js';
