import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {createFakeFleet} from './fake-fleet.js';
import {VirtualTime} from './virtual-time.js';

const accounts = ['one', 'two', 'three'];
const hourMs = 3_600_000;
const settleMs = 60_000;
const convergenceMs = 20_000;

// State must not grow during a partition, and usage reports must become current after it.
test('regions that were partitioned for an hour keep no additional state and exchange usage soon afterwards', async () => {
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
	const generateLoad = () => {
		for (const {node} of fleet.vms) {
			for (const account of accounts) {
				const reservation = node.ledger.reserve(account, 10, time.wallMs());
				node.ledger.charge(reservation, 10, time.wallMs());
				node.ledger.release(reservation);
			}
		}

		time.after(1000, generateLoad);
	};

	time.after(1000, generateLoad);
	const setRegionLinks = (isUp: boolean) => {
		for (const from of fleet.vms) {
			for (const to of fleet.vms) {
				if (from.address.region !== to.address.region) {
					fleet.setLink(from, to, isUp);
				}
			}
		}
	};

	const stateSizes = () =>
		fleet.vms.map(({node}) => [
			node.membership.entries.size,
			node.peerUsage.size,
			node.membership.directory.size,
		]);

	await time.runUntil(settleMs);
	const sizesBefore = stateSizes();
	setRegionLinks(false);
	await time.runUntil(settleMs + hourMs);
	assert.deepEqual(stateSizes(), sizesBefore);
	setRegionLinks(true);
	const reconnectedMs = time.wallMs();
	await time.runUntil(settleMs + hourMs + convergenceMs);
	for (const {node, address} of fleet.vms) {
		const otherRegionScope =
			address.region === 'region-0' ? 'r:region-1' : 'r:region-0';
		for (const account of accounts) {
			const reportedMs =
				node.peerUsage.reportedAtMs(otherRegionScope, account) ?? 0;
			assert.equal(
				reportedMs > reconnectedMs,
				true,
				`${address.name} ${account}`,
			);
		}
	}
});
