import assert from 'node:assert/strict';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {BookingStatusRequest} from '../../decisions/bookings/index.js';
import {createPeerServer} from './peer-server.js';
import {TrpcBookingPeers} from './trpc-booking-peers.js';

// If client and server disagree on the request, every retry through another entry VM gets an unknown outcome.
test('a booking status request reaches the owner unchanged, its wait in whole milliseconds, and a wrong token is rejected', async (t) => {
	const requests: BookingStatusRequest[] = [];
	const server = createPeerServer({
		peerToken: 'peer-token',
		operatorToken: 'operator-token',
		maxBodyBytes: 65_536,
		async bookingStatus(request: BookingStatusRequest) {
			requests.push(request);
			return 'recorded' as const;
		},
	} as unknown as Parameters<typeof createPeerServer>[0]);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const request = {
		account: 'finishers',
		key: '018bcfe5-6800-7abc-8def-000000000001',
		owner: 'run-1',
		attemptId: 'attempt-1',
		waitMs: 500.25,
	};
	const owners = new TrpcBookingPeers({
		token: 'peer-token',
		networkAllowanceMs: 5000,
	});
	assert.equal(await owners.requestStatus(address, request), 'recorded');
	assert.deepEqual(requests, [{...request, waitMs: 501}]);
	const unauthorized = new TrpcBookingPeers({
		token: 'wrong',
		networkAllowanceMs: 5000,
	});
	await assert.rejects(unauthorized.requestStatus(address, request), {
		type: 'peer-unavailable',
	});
});
