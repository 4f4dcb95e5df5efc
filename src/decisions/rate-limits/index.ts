export {createRateLimitTable, type RateLimitTable} from './rate-limit-table.js';
export type {RateLimitChange, RateLimitReport} from './types.js';
