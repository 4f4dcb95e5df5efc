export * from './clock.js';
export type * from './disposable.js';
export {createDisposableStore} from './disposable.js';
export type * from './emitter.js';
export {createEmitter} from './emitter.js';
export * from './random-source.js';
export * from './repeat.js';
export * from './seeded-random-source.js';
export * from './timers.js';
