export * from './booking-caller.js';
export * from './generation-caller.js';
