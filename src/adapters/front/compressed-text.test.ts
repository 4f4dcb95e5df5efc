import assert from 'node:assert/strict';
import {test} from 'node:test';
import {deflateRawSync} from 'node:zlib';
import {compressText, decompressText} from './compressed-text.js';

test('guards against a text that changes on the way', () => {
	const text = JSON.stringify({version: 3, name: 'äß', list: [1, 2]});
	assert.equal(decompressText(compressText(text)), text);
});

test('guards against a datagram that unpacks to more than a VM can hold, or to nothing', () => {
	const large = deflateRawSync('x'.repeat(20_000_000)).toString('base64');
	assert.ok(large.length < 30_000);
	assert.throws(() => decompressText(large), {type: 'peer-protocol'});
	assert.throws(() => decompressText('none'), {type: 'peer-protocol'});
});
