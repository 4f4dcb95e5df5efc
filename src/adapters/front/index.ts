export * from './caller-listener.js';
export * from './caller-reply.js';
export * from './datagram-socket.js';
export * from './compressed-text.js';
export * from './peer-state-client.js';
export * from './peer-state-server.js';
