import {SystemClock} from '../../system/index.js';
import type {ServerBounds} from '../bounded-server.js';
import {createReceiveMemory} from '../receive-memory.js';

/** Bounds that no ordinary test reaches, with those that a test sets itself. */
export function testBounds(bounds: Partial<ServerBounds> = {}): ServerBounds {
	return {
		maxConnections: 100,
		maxPerAddress: 100,
		closesUnread: false,
		receiveMemory: createReceiveMemory({
			maxBytes: 16_777_216,
			clock: new SystemClock(),
		}),
		maxUnreadMs: 1000,
		onClosed() {
			// The test does not look at closed connections.
		},
		...bounds,
	};
}
