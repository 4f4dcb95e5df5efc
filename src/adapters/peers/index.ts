export * from './configuration-changes-schema.js';
export * from './peer-client.js';
export type * from './peer-router.js';
export * from './peer-server.js';
export * from './trpc-booking-peers.js';
export * from './trpc-lease-peers.js';
