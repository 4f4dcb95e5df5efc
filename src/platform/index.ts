export * from './boot-file.js';
export * from './configuration.js';
export * from './evacuation-row.js';
export * from './http-target-client.js';
export * from './wire-names.js';
export * from './request-headers.js';
export * from './store-client.js';
export * from './target-entry.js';
