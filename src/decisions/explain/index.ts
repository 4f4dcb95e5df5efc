export * from './explain-log.js';
