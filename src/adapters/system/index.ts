export * from './bounded-output.js';
export * from './heap-limit.js';
export * from './logger.js';
export * from './metrics.js';
export * from './relay-metrics.js';
export * from './system-clock.js';
export * from './system-timers.js';
