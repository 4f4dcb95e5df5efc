export * from './boot-file.js';
export * from './engine-standin.js';
export type {StreamFault} from './stream-fault.js';
export * from './store-rows.js';
export * from './reset-socket.js';
export * from './service-standin.js';
export * from './store-standin.js';
export * from './target-server.js';
export * from './scripted-target.js';
