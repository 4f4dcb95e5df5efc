import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLogger} from '../../adapters/system/index.js';
import {
	RowStore,
	storeRevision,
	type TableSnapshot,
} from '../../common/index.js';
import {
	FakeRowStore,
	FakeStoreContent,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {startCoordinatorRegistry} from './coordinator-registry.js';

/** A store with fixed rows, in the order of their keys. */
class FixedStore extends RowStore {
	constructor(private readonly texts: readonly string[]) {
		super();
	}

	override async snapshot(): Promise<TableSnapshot> {
		const rows = this.texts.map((text, index) => ({
			key: `k${index}`,
			value: new TextEncoder().encode(text),
			revision: storeRevision(1),
		}));
		return {rows, revision: storeRevision(1)};
	}

	override async changes() {
		return {changes: [], revision: storeRevision(1)};
	}

	override async put(): Promise<void> {
		// The registry's own row is not read back.
	}
}

test('rows without a usable address keep no other coordinator from being found', async (context) => {
	const time = new VirtualTime();
	const found: string[] = [];
	const registry = startCoordinatorRegistry({
		clock: time,
		timers: time,
		store: new FixedStore([
			'["',
			'null',
			'{"address":"10.0.0.1:99999"}',
			'{"address":7}',
			'{"address":"10.0.0.2:7200"}',
		]),
		storeEra: () => 0,
		vmName: 'vm-1',
		address: '10.0.0.3:7200',
		isCoordinator: () => true,
		isAlone: () => true,
		onCoordinatorFound(address) {
			found.push(address);
		},
		logger: createLogger('test', 'error', 1024),
	});
	context.after(() => {
		registry.dispose();
	});
	await time.runUntil(100);
	assert.deepEqual(found, ['10.0.0.2:7200']);
});

test('a coordinator that the older copy of the store lacks is registered again within seconds', async (context) => {
	const time = new VirtualTime();
	const content = new FakeStoreContent();
	const copy = content.copy();
	const known = {era: 0};
	const registry = startCoordinatorRegistry({
		clock: time,
		timers: time,
		store: new FakeRowStore(content, time),
		storeEra: () => known.era,
		vmName: 'vm-1',
		address: '10.0.0.3:7200',
		isCoordinator: () => true,
		isAlone: () => false,
		onCoordinatorFound() {
			// There is no other.
		},
		logger: createLogger('test', 'error', 1024),
	});
	context.after(() => {
		registry.dispose();
	});
	const registered = () => content.snapshot('cowslip-vms').rows.length;
	await time.runUntil(10_000);
	assert.equal(registered(), 1);
	content.restore(copy);
	assert.equal(registered(), 0);
	known.era = 1;
	await time.runUntil(12_100);
	assert.equal(registered(), 1);
	const {revision} = content.snapshot('cowslip-vms');
	await time.runUntil(70_000);
	assert.deepEqual(content.snapshot('cowslip-vms').revision, revision);
});
