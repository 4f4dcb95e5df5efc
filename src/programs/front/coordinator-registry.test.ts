import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLogger} from '../../adapters/system/index.js';
import {RowStore, type TableSnapshot} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
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
			version: 1,
		}));
		return {rows, version: 1};
	}

	override async changes() {
		return {changes: [], version: 1};
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
