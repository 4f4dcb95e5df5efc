export * from './undici-parts.js';
export * from './readable-head.js';
