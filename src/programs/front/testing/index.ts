export * from './front-fixture.js';
