export * from './caller-server.js';
export * from './completions-handler.js';
export * from './problem-response.js';
export * from './services-handler.js';
export * from './stream-token.js';
