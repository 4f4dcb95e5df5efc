import assert from 'node:assert/strict';
import {test} from 'node:test';
import {responseHead} from '../../platform/testing/index.js';
import {
	fixtureConfiguration,
	startFixture,
	statusOf,
	until,
} from './testing/index.js';

test('a daemon serves on by the newest configuration and avoids a target that has left after the store returned from an older copy', async (context) => {
	const {store, front, entry, isReady} = await startFixture(
		context,
		(request, socket) => {
			socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
		},
	);
	const status = async (key: string) =>
		statusOf(front, '/stock/1', {'Api-Key': key});
	store.put('op', 'config', fixtureConfiguration(3));
	store.put('servers', 't1', entry('desk'));
	await until(isReady);
	await until(async () => (await status('key-1')) === 200);
	const copy = store.copy();
	store.put('op', 'config', fixtureConfiguration(8, ['key-2']));
	await until(async () => (await status('key-2')) === 200);
	store.put('servers', 't1', entry('desk', 'draining'));
	await until(async () => (await status('key-2')) === 503);

	store.restore(copy);
	const endMs = performance.now() + 1500;
	while (performance.now() < endMs) {
		assert.equal(await status('key-2'), 503);
		assert.equal(await status('key-1'), 401);
	}

	// The coordinator has registered itself again.
	await until(() => store.rows.has('cowslip-vms/edge-1'));
	store.put('servers', 't1', entry('desk'));
	await until(async () => (await status('key-2')) === 200);
	store.put('op', 'config', fixtureConfiguration(9, ['key-3']));
	await until(async () => (await status('key-3')) === 200);
});
