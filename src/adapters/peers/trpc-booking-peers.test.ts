import assert from 'node:assert/strict';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {BookingStatusRequest} from '../../decisions/bookings/index.js';
import {createPeerServer} from './peer-server.js';
import {TrpcBookingPeers} from './trpc-booking-peers.js';

// Guards against a question to an owner that gets lost between client and server, which would turn
// every repeat through another entry VM into an unknown outcome.
test('asks the owner of a record over the network', async (t) => {
	const questions: BookingStatusRequest[] = [];
	const server = createPeerServer({
		peerToken: 'peer-token',
		operatorToken: 'operator-token',
		maxBodyBytes: 65_536,
		async bookingStatus(question: BookingStatusRequest) {
			questions.push(question);
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
	const question = {
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
	assert.equal(await owners.requestStatus(address, question), 'recorded');
	assert.deepEqual(questions, [{...question, waitMs: 501}]);
	const stranger = new TrpcBookingPeers({
		token: 'wrong',
		networkAllowanceMs: 5000,
	});
	await assert.rejects(stranger.requestStatus(address, question), {
		type: 'peer-unavailable',
	});
});
