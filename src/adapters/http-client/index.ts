export * from './undici-parts.js';
