export * from './boot-file.js';
export * from './store-standin.js';
export * from './target-standin.js';
