import assert from 'node:assert/strict';
import {test} from 'node:test';
import {deflateRawSync} from 'node:zlib';
import {compressText, decompressText} from './compressed-text.js';

test('decompressing returns the text that was compressed, also outside ASCII', () => {
	const text = JSON.stringify({version: 3, name: 'äß', list: [1, 2]});
	assert.equal(decompressText(compressText(text)), text);
});

test('refuses a small text that decompresses beyond the limit, and a malformed one', () => {
	const bomb = deflateRawSync('x'.repeat(20_000_000)).toString('base64');
	assert.ok(bomb.length < 30_000);
	assert.throws(() => decompressText(bomb), {type: 'peer-protocol'});
	assert.throws(() => decompressText('none'), {type: 'peer-protocol'});
});
