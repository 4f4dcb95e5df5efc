export * from './assigned-accounts.js';
export * from './booking-coordinator.js';
export * from './booking-key.js';
export * from './booking-peers.js';
export {bookingPrefix, parseBookingRecord} from './booking-record.js';
export * from './booking-retention.js';
export * from './background-settler.js';
export * from './group-commit.js';
export * from './types.js';
