export * from './bounded-server.js';
export * from './caller-listener.js';
export * from './caller-response.js';
export * from './datagram-socket.js';
export * from './compressed-text.js';
export * from './peer-tables-client.js';
export * from './peer-tables-server.js';
export * from './receive-memory.js';
