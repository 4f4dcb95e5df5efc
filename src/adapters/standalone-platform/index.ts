export * from './cached-vm-list.js';
export * from './etcd-table-service.js';
export * from './http-json.js';
export * from './http-object-store.js';
export * from './http-vm-list.js';
export * from './http-weight-store.js';
