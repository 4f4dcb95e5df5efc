import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type ConnectionLimitReason,
	type ConnectionUse,
	createConnectionTable,
} from './connection-table.js';

function createFixture(closesUnread = false) {
	const closed: string[] = [];
	const reasons: ConnectionLimitReason[] = [];
	const table = createConnectionTable(
		{maxConnections: 4, maxPerAddress: 3, closesUnread},
		(reason) => {
			reasons.push(reason);
		},
	);
	const add = (name: string, address: string, use: ConnectionUse) =>
		table.add({
			address,
			use,
			close() {
				closed.push(name);
			},
		});
	return {table, add, closed, reasons};
}

test('a crowd of silent connections does not keep new ones out', () => {
	const {table, add, closed, reasons} = createFixture();
	add('crowd-1', 'a', 'new');
	add('crowd-2', 'a', 'new');
	add('other', 'b', 'new');
	add('crowd-3', 'a', 'new');
	assert.equal(add('caller', 'b', 'new'), true);
	assert.deepEqual(closed, ['crowd-1']);
	assert.deepEqual(reasons, ['connections']);
	assert.equal(table.size, 4);
});

test('a connection with a request is never closed for another', () => {
	const {add, closed} = createFixture();
	for (const name of ['1', '2']) {
		add(name, 'a', 'busy');
		add(name, 'b', 'unread');
	}

	assert.equal(add('more', 'c', 'new'), false);
	assert.deepEqual(closed, []);
});

test('a connection that never sent a request is closed before one that waits for the next', () => {
	const {add, closed} = createFixture();
	add('kept', 'a', 'idle');
	add('silent', 'a', 'new');
	add('busy', 'b', 'busy');
	add('busy', 'b', 'busy');
	add('1', 'c', 'busy');
	add('2', 'c', 'busy');
	assert.deepEqual(closed, ['silent', 'kept']);
});

test('an address at its limit costs only its own connections', () => {
	const {add, closed, reasons} = createFixture();
	add('idle', 'b', 'new');
	add('1', 'a', 'busy');
	add('2', 'a', 'idle');
	add('3', 'a', 'busy');
	assert.equal(add('4', 'a', 'busy'), true);
	assert.equal(add('5', 'a', 'busy'), false);
	assert.deepEqual(closed, ['2']);
	assert.deepEqual(reasons, [
		'connections-of-address',
		'connections-of-address',
	]);
});

test('a page that is not read makes room for a readiness check', () => {
	const {add, closed} = createFixture(true);
	add('1', 'a', 'unread');
	add('2', 'a', 'unread');
	add('3', 'b', 'unread');
	add('4', 'c', 'busy');
	assert.equal(add('check', 'd', 'new'), true);
	assert.deepEqual(closed, ['1']);
});

test('a connection that has ended is no longer counted', () => {
	const {table} = createFixture();
	const connection = {
		address: 'a',
		use: 'busy' as const,
		close() {
			assert.fail('closed');
		},
	};
	table.add(connection);
	table.remove(connection);
	table.remove(connection);
	assert.equal(table.size, 0);
});
