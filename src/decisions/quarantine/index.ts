export * from './crash-evidence.js';
export * from './crash-observer.js';
export * from './prompt-quarantine.js';
export {lastMilestone} from './response-point.js';
export type * from './types.js';
