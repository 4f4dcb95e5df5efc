import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {allowedRegionsOf} from './allowed-regions.js';

const rule = (...allowedRegions: string[]) => ({allowedRegions});
const regionsOf = (...parameters: Parameters<typeof allowedRegionsOf>) => {
	const regions = allowedRegionsOf(...parameters);
	return regions && [...regions];
};

suite('allowed regions', () => {
	test('a rule without regions restricts nothing', () => {
		assert.equal(regionsOf(rule(), undefined), undefined);
		assert.equal(regionsOf(rule(), rule()), undefined);
		assert.deepEqual(regionsOf(rule('a'), rule()), ['a']);
		assert.deepEqual(regionsOf(rule(), rule('b')), ['b']);
	});

	test('only what both rules allow is allowed, which may be nothing and must not count as everything', () => {
		assert.deepEqual(regionsOf(rule('a', 'b'), rule('b', 'c')), ['b']);
		assert.deepEqual(regionsOf(rule('a'), rule('b')), []);
	});
});
