import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {createPermitFleet} from '../../experiments/fakes/index.js';

/** Limit of a cold engine in the first deployment, and what the platform tolerates in any second. */
const target = {targetId: 'e1', requestsPerSecond: 28};
const overage = 1.5;
const slack = 5;
const tolerated = target.requestsPerSecond * overage + slack;
const windowMs = 1000;
const vmCounts = [6, 30, 90] as const;
const durationMs = 8000;

/** The changes take place in a running fleet; a part is named by the fraction of the VMs in it. */
const faults = [
	['nothing fails', () => ({})],
	['the coordinator is killed', () => ({isUp: (vm: number) => vm > 0})],
	[
		'a third of the VMs is cut off from the others, but not from the target',
		(vmCount: number) => ({
			isLinked: (from: number, to: number) =>
				from === to || (from < (vmCount * 2) / 3 && to < (vmCount * 2) / 3),
		}),
	],
	[
		'the VMs are parted into two halves',
		(vmCount: number) => ({
			isLinked: (from: number, to: number) =>
				from < vmCount / 2 === to < vmCount / 2,
		}),
	],
	[
		'the coordinator loses its peers',
		() => ({isLinked: (from: number, to: number) => from > 0 === to > 0}),
	],
	['one datagram in five is lost', () => ({lossFraction: 0.2})],
	['no datagram arrives', () => ({lossFraction: 1})],
] as const;

suite('the VMs together keep to the limit of a cold target', () => {
	for (const vmCount of vmCounts) {
		for (const [name, change] of faults) {
			test(`${vmCount} VMs in any second when ${name}`, async () => {
				const fleet = createPermitFleet({
					vmCount,
					target,
					windowMs,
					isPlacing: true,
				});
				await fleet.runUntil(durationMs / 2);
				Object.assign(fleet.state, change(vmCount));
				await fleet.runUntil(durationMs);
				const most = fleet.mostInWindow();
				assert.ok(most <= tolerated, `${most} of ${tolerated}`);
			});
		}
	}

	for (const vmCount of vmCounts) {
		test(`${vmCount} VMs when the target turns cold while a third of them are cut off each on its own`, async () => {
			const fleet = createPermitFleet({
				vmCount,
				target,
				windowMs,
				isPlacing: true,
				limitedFromMs: 2 * durationMs,
			});
			const joined = (vmCount * 2) / 3;
			await fleet.runUntil(durationMs / 2);
			fleet.state.isLinked = (from, to) =>
				from === to || (from < joined && to < joined);
			await fleet.runUntil(2 * durationMs + 2 * windowMs);
			const most = fleet.mostInWindow();
			assert.ok(most <= tolerated, `${most} of ${tolerated}`);
			assert.ok(most >= target.requestsPerSecond / 2, 'the target is used');
		});
	}
});
