export * from './fake-object-store.js';
export * from './fake-order-target.js';
export * from './fake-plain-service.js';
export * from './fake-process.js';
export * from './fake-stream-engine.js';
export * from './fake-table-service.js';
export * from './virtual-time.js';
export * from './fake-fleet.js';
