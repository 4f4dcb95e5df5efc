export * from './engine-model.js';
export * from './engine-server.js';
export * from './token-text.js';
