export * from './service-server.js';
