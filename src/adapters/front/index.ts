export * from './caller-listener.js';
export * from './caller-reply.js';
export * from './datagram-channel.js';
