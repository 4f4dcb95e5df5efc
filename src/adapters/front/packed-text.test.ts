import assert from 'node:assert/strict';
import {test} from 'node:test';
import {deflateRawSync} from 'node:zlib';
import {packText, unpackText} from './packed-text.js';

test('guards against a text that changes on the way', () => {
	const text = JSON.stringify({version: 3, name: 'äß', list: [1, 2]});
	assert.equal(unpackText(packText(text)), text);
});

test('guards against a datagram that unpacks to more than a VM can hold, or to nothing', () => {
	const large = deflateRawSync('x'.repeat(20_000_000)).toString('base64');
	assert.ok(large.length < 30_000);
	assert.throws(() => unpackText(large), {type: 'peer-protocol'});
	assert.throws(() => unpackText('none'), {type: 'peer-protocol'});
});
