export * from './lease-peer.js';
