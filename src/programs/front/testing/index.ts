export * from './crashing-engines.js';
export * from './front-fixture.js';
