import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {
	VirtualTime,
	fakeCallerRequest,
	fakeRoute,
} from '../../experiments/fakes/index.js';
import {admit} from './admission.js';
import {createPreviousWaitEstimator} from './previous-wait-estimator.js';
import {createRouteTable} from './route-table.js';

const table = createRouteTable({
	version: 3,
	routes: [
		fakeRoute(),
		fakeRoute({name: 'r-2', pathPrefix: '/stock/deep/', timeoutMs: 400}),
	],
	services: new Map(),
	accounts: [
		{name: 'finishers', apiKeys: ['key-1'], priority: 0, allowedRegions: []},
	],
	limits: {
		maxHeaderBytes: 1,
		maxBodyBytes: 1,
		headerTimeoutMs: 1,
		idleTimeoutMs: 1,
	},
});
const random = new SeededRandomSource(1);
const inputs = {
	table,
	isConfirmed: true,
	nowMs: 50,
	previousWaitEstimator: createPreviousWaitEstimator(new VirtualTime()),
	random,
};

const statusOf = (admission: ReturnType<typeof admit>) =>
	'admitted' in admission ? 'admitted' : admission.status;

test("the longest matching prefix wins, and the time limit does not exceed the route's", () => {
	const admission = admit(
		fakeCallerRequest({path: '/stock/deep/1?a=b'}),
		inputs,
	);
	assert.ok('admitted' in admission);
	assert.equal(admission.admitted.route.name, 'r-2');
	assert.equal(admission.admitted.deadlineMs, 450);
	assert.equal(admission.admitted.priority, 0);
});

test('refuses unknown API keys with 401 and unknown routes with 404', () => {
	assert.equal(
		statusOf(admit(fakeCallerRequest({apiKey: 'old'}), inputs)),
		401,
	);
	assert.equal(
		statusOf(admit(fakeCallerRequest({apiKey: undefined}), inputs)),
		401,
	);
	assert.equal(
		statusOf(admit(fakeCallerRequest({path: '/other/'}), inputs)),
		404,
	);
	assert.equal(
		statusOf(admit(fakeCallerRequest({host: 'b.example'}), inputs)),
		404,
	);
});

test('refuses with a retryable 503 while the configuration may be out of date', () => {
	const stale = {...inputs, isConfirmed: false};
	assert.equal(statusOf(admit(fakeCallerRequest({apiKey: 'new'}), stale)), 503);
	assert.equal(statusOf(admit(fakeCallerRequest({path: '/new/'}), stale)), 503);
	assert.equal(statusOf(admit(fakeCallerRequest(), stale)), 'admitted');
	const none = admit(fakeCallerRequest(), {...inputs, table: undefined});
	assert.equal(statusOf(none), 503);
	assert.ok(!('admitted' in none) && none.retryAfterMs);
});
