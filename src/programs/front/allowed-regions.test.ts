import assert from 'node:assert/strict';
import {test} from 'node:test';
import {responseHead} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	startFixture,
	until,
} from './testing/index.js';

test('restricted calls and streams are refused at once, without having run, if no target is in an allowed region', async (context) => {
	const event = 'id: 1\ndata: token\n\n';
	const fixture = await startFixture(context, (request, socket) => {
		const lines = ['Content-Type: text/event-stream'];
		socket.write(
			responseHead(request, ...lines, `Content-Length: ${event.length}`) +
				event,
		);
	});
	const {store, target, front, entry} = fixture;
	const configuration = fixtureConfiguration(3);
	const restrict = (version: number, regions: readonly string[]) => {
		const accounts = configuration.tenants as ReadonlyArray<
			Readonly<Record<string, unknown>>
		>;
		store.put('op', 'config', {
			...configuration,
			version,
			tenants: accounts.map((account) => ({
				...account,
				allowed_regions: regions,
			})),
		});
	};

	restrict(3, ['region-1']);
	store.put('servers', 't1', {...entry('desk'), zone: 'zone-1'});
	store.put('servers', 't2', {...entry('model'), zone: 'zone-1'});
	await until(fixture.isReady);
	const send = async (path: string, method: string) =>
		call(
			front,
			path,
			{
				'Cowslipspread-Attempt-Id': `q-${performance.now()}`,
				'Cowslipspread-Model': 'm',
				'Cowslipspread-Token-Counts': '100,4',
				'Cowslipspread-Prompt-Prefix': 'a1:100',
			},
			method,
		);
	const requests = [
		['/stock/1', 'GET'],
		['/report/1', 'POST'],
	] as const;
	for (const [path, method] of requests) {
		const {status} = await send(path, method);
		assert.equal(status, 200, path);
	}

	restrict(4, ['region-2']);
	await until(async () => {
		const {status} = await send('/stock/1', 'GET');
		return status === 503;
	});
	const count = () => target.requests.filter(({id}) => id !== '').length;
	const before = count();
	for (const [path, method] of requests) {
		const {status, headers} = await send(path, method);
		assert.equal(status, 503, path);
		assert.ok(Number(headers['retry-after']) > 0);
	}

	assert.equal(count(), before);
});
