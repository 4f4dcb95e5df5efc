import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {chooseServiceTarget} from './service-placement.js';

const random = new SeededRandomSource(2);
const target = (targetId: string, zone: string, openCount: number) => ({
	targetId,
	availabilityZone: zone,
	slotCount: 6,
	openCount,
	isSuspect: false,
	isAvoided: false,
});
const none: ReadonlySet<string> = new Set();

test('prefers the own zone only until half of the slots there are taken', () => {
	const near = (openCount: number) => [
		target('t1', 'zone-1', openCount),
		target('t2', 'zone-2', 0),
	];
	const chosen = (openCount: number) =>
		chooseServiceTarget(near(openCount), 'zone-1', none, random)?.targetId;
	assert.equal(chosen(2), 't1');
	assert.equal(chosen(5), 't2');
});

test('does not choose a target that was already tried for the call', () => {
	const candidates = [target('t1', 'zone-1', 0), target('t2', 'zone-2', 6)];
	const avoid = new Set(['t1']);
	assert.equal(
		chooseServiceTarget(candidates, 'zone-1', avoid, random)?.targetId,
		't2',
	);
	assert.equal(
		chooseServiceTarget([candidates[0]], 'zone-1', avoid, random),
		undefined,
	);
});
