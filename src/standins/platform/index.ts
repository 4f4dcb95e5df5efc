export * from './platform-server.js';
export * from './table-store.js';
