import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {createFakeFleet} from './fake-fleet.js';
import {VirtualTime} from './virtual-time.js';

const accounts = ['one', 'two', 'three'];
const hourMs = 3_600_000;
const settleMs = 60_000;
const reconvergeMs = 20_000;

// Guards against state that grows while regions are apart, and against figures that stay old afterwards.
test('regions that were apart for an hour hold no more state and agree soon after', async () => {
	const time = new VirtualTime();
	const fleet = createFakeFleet({
		time,
		random: new SeededRandomSource(1),
		members: [0, 1, 2, 3].map((index) => ({
			name: `entry-${index}`,
			address: `127.0.0.1:${index + 1}`,
			availabilityZone: `zone-${index}`,
			region: `region-${index % 2}`,
		})),
		contractOf: () => ({
			floorTokensPerMinute: 100,
			ceilingTokensPerMinute: 100_000,
			shareWeight: 1,
		}),
	});
	fleet.start();
	const load = () => {
		for (const {node} of fleet.vms) {
			for (const account of accounts) {
				const reservation = node.ledger.reserve(account, 10, time.wallMs());
				node.ledger.charge(reservation, 10, time.wallMs());
				node.ledger.release(reservation);
			}
		}

		time.after(1000, load);
	};

	time.after(1000, load);
	const setLinks = (works: boolean) => {
		for (const from of fleet.vms) {
			for (const to of fleet.vms) {
				if (from.address.region !== to.address.region) {
					fleet.setLink(from, to, works);
				}
			}
		}
	};

	const sizes = () =>
		fleet.vms.map(({node}) => [
			node.membership.entries.size,
			node.peerUsage.size,
			node.membership.directory.size,
		]);

	await time.runUntil(settleMs);
	const before = sizes();
	setLinks(false);
	await time.runUntil(settleMs + hourMs);
	assert.deepEqual(sizes(), before);
	setLinks(true);
	const healedMs = time.wallMs();
	await time.runUntil(settleMs + hourMs + reconvergeMs);
	for (const {node, address} of fleet.vms) {
		const other = address.region === 'region-0' ? 'r:region-1' : 'r:region-0';
		for (const account of accounts) {
			const reportedMs = node.peerUsage.reportedAtMs(other, account) ?? 0;
			assert.equal(reportedMs > healedMs, true, `${address.name} ${account}`);
		}
	}
});
