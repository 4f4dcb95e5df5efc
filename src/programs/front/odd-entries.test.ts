import assert from 'node:assert/strict';
import {test} from 'node:test';
import {responseHead} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	startFixture,
	statusOf,
	until,
} from './testing/index.js';

const nestingDepth = 30_000;
const nested = '['.repeat(nestingDepth) + ']'.repeat(nestingDepth);
const plain = {
	service: '"desk"',
	address: '"127.0.0.1:9"',
	zone: '"zone-1"',
	version: '"v1"',
	slots: '6',
	state: '"ready"',
	cold_left_ms: '0',
	seq: '4',
};

/** Text of an entry in which some fields have other values, given as JSON. */
function entryText(changes: Readonly<Record<string, string>>): string {
	const fields = Object.entries({...plain, ...changes});
	return `{${fields.map(([name, json]) => `"${name}":${json}`).join(',')}}`;
}

/** Rows of another writer: none names a target that can be used. */
const oddRows: ReadonlyArray<readonly [key: string, text: string]> = [
	['port-too-large', entryText({address: '"127.0.0.1:99999"'})],
	['port-zero', entryText({address: '"127.0.0.1:0"'})],
	['octet-too-large', entryText({address: '"127.0.0.999:80"'})],
	['infinite-slots', entryText({slots: '1e400'})],
	['huge-slots', entryText({slots: '1e300'})],
	['broken-slots', entryText({slots: '2.5'})],
	['huge-warm-up', entryText({cold_left_ms: '1e300'})],
	['huge-birth', entryText({born: '1e300'})],
	['huge-sequence', entryText({seq: '1e400'})],
	['nested-service', entryText({service: nested})],
	['nested-version', entryText({version: nested})],
	['nested-sequence', entryText({seq: nested})],
	[
		'nested-object',
		`${'{"a":'.repeat(nestingDepth)}1${'}'.repeat(nestingDepth)}`,
	],
	['nested', nested],
	['unfinished', '['.repeat(nestingDepth)],
	...Object.keys(plain).map((field): readonly [string, string] => [
		`without-${field}`,
		entryText({[field]: 'null'}).replace(`"${field}":null`, '"other":0'),
	]),
	['line\nbreak', entryText({})],
	['', entryText({})],
];

test('a daemon keeps following the targets and uses none of the entries that another writer has garbled', async (context) => {
	const {store, front, entry, isReady, target} = await startFixture(
		context,
		(request, socket) => {
			socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
		},
	);
	const half = Math.floor(oddRows.length / 2);
	const putRows = (rows: typeof oddRows) => {
		for (const [key, text] of rows) {
			store.putText('servers', key, text);
		}
	};

	const assertServing = async () => {
		for (let index = 0; index < 20; index++) {
			const headers = {'Cowslipspread-Attempt-Id': `q${index}`};
			const {status} = await call(front, `/stock/${index}`, headers);
			assert.equal(status, 200);
		}
	};

	// Some are there when the daemon starts to read the table, the others arrive later.
	putRows(oddRows.slice(0, half));
	store.put('op', 'config', fixtureConfiguration(3));
	store.put('servers', 't1', entry('desk'));
	await until(isReady);
	await until(async () => (await statusOf(front, '/stock/1')) === 200);
	await assertServing();
	putRows(oddRows.slice(half));
	store.put('op', 'config', fixtureConfiguration(4, ['key-1', 'key-2']));
	await until(
		async () =>
			(await statusOf(front, '/stock/1', {'Api-Key': 'key-2'})) === 200,
	);
	await assertServing();
	const requestCount = target.requests.length;
	store.put('servers', 't1', entry('desk', 'draining'));
	await until(async () => (await statusOf(front, '/stock/1')) === 503);
	assert.ok(target.requests.length >= requestCount);
});

test('an entry of another writer that lacks a field sends no request to a target of another service (review case 7)', async (context) => {
	const arrivals: string[] = [];
	const {store, front, entry, isReady} = await startFixture(
		context,
		(request, socket) => {
			arrivals.push(request.head.split(' ')[1]);
			socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
		},
	);
	const routes = (['book', 'stock'] as const).map((name) => ({
		name,
		prefix: `/${name}/`,
		kind: 'idempotent' as const,
		service: name,
	}));
	store.put('op', 'config', fixtureConfiguration(3, ['key-1'], routes));
	store.put('servers', 't1', entry('stock'));
	await until(isReady);
	await until(async () => (await statusOf(front, '/stock/1')) === 200);
	for (const field of ['version', 'cold_left_ms', 'seq', 'zone', 'slots']) {
		store.put('servers', 't1', {...entry('book'), [field]: undefined});
		await until(async () => (await statusOf(front, '/stock/1')) === 503);
		assert.equal(await statusOf(front, '/book/1'), 503);
		store.put('servers', 't1', entry('stock'));
		await until(async () => (await statusOf(front, '/stock/1')) === 200);
	}

	assert.deepEqual(
		arrivals.filter((path) => path.startsWith('/book/')),
		[],
	);
});
