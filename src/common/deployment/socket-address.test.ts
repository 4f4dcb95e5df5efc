import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isSocketAddress} from './socket-address.js';

test('accepts only IPv4 addresses and ports in their ranges', () => {
	const texts = [
		'10.0.0.1:80',
		'255.255.255.255:65535',
		'10.0.0.1:65536',
		'10.0.0.1:0',
		'10.0.0.256:80',
		'10.0.0:80',
		'10.0.0.1.2:80',
		'10.0.0.1',
		'host:80',
		'10.0.0.1:80 ',
		'',
	];
	assert.deepEqual(
		texts.filter((text) => isSocketAddress(text)),
		['10.0.0.1:80', '255.255.255.255:65535'],
	);
});
