export * from './backoff.js';
export * from './outlier-detector.js';
export * from './retry-budget.js';
export * from './service-caller.js';
