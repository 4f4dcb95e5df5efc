export * from './load-run.js';
