export * from './call-meter.js';
export * from './demand-sums.js';
export * from './figure-weight.js';
export type * from './types.js';
export * from './zone-shares.js';
export * from './zone-spillover.js';
