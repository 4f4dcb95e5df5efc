export * from './explain-log.js';
export * from './explain-request.js';
