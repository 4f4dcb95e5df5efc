export * from './virtual-time.js';
