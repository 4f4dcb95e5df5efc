export * from './engine-simulation.js';
export * from './engine-server.js';
export * from './token-text.js';
