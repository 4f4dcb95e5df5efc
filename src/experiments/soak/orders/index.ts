export * from './order-plan.js';
export * from './order-world.js';
