export type * from './accounts/index.js';
export * from './base/index.js';
export * from './errors/index.js';
export * from './invariants/index.js';
export * from './peers/index.js';
export * from './platform/index.js';
export * from './targets/index.js';
export * from './deployment/index.js';
export * from './requests/index.js';
