export * from './server-bounds.js';
