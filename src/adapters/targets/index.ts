export * from './http-engine.js';
export * from './http-plain-service.js';
export * from './reset-aware-client.js';
export {createReadBudget} from './paced-reads.js';
export * from './piece-collector.js';
