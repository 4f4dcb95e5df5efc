export * from './crashing-engines.js';
export * from './crowd.js';
export * from './crowded-daemon.js';
export * from './front-fixture.js';
export * from './statement-checks.js';
export * from './stating-targets.js';
export * from './store-side.js';
export * from './engine-fleet.js';
