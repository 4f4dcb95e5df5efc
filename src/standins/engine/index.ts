export * from './engine-model.js';
export * from './engine-server.js';
