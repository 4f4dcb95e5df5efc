import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLogger} from '../../adapters/system/index.js';
import {storeRevision} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createConfigurationState} from '../../decisions/serving/index.js';
import {createConfigurationLoader} from './configuration-loader.js';
import {fixtureConfiguration} from './testing/index.js';

function start() {
	const time = new VirtualTime();
	const configuration = createConfigurationState();
	const loader = createConfigurationLoader({
		timers: time,
		configuration,
		logger: createLogger('test', 'error'),
	});
	return {time, configuration, loader};
}

const textOf = (version: number) =>
	JSON.stringify(fixtureConfiguration(version));

test('ignores an older row that a peer relays late, so that it is not relayed on as the newest', async () => {
	const {time, configuration, loader} = start();
	loader.load(textOf(8), storeRevision(20), 'store');
	loader.load(textOf(5), storeRevision(12), 'peer');
	await time.runUntil(1000);
	assert.equal(loader.newestText, textOf(8));
	assert.equal(configuration.current?.version, 8);
});

test('the lower version in an older copy of the store is neither put into force nor relayed, although its revision is newer', async () => {
	const {time, configuration, loader} = start();
	loader.load(textOf(8), storeRevision(20), 'store');
	loader.load(textOf(5), storeRevision(12, 1), 'store');
	// Also before the newer one is decoded.
	assert.equal(loader.newestText, textOf(8));
	await time.runUntil(1000);
	assert.equal(loader.newestText, textOf(8));
	assert.equal(configuration.current?.version, 8);
});

test('a VM that has started from an older copy takes the higher version of a peer, although its revision is older', async () => {
	const {time, configuration, loader} = start();
	loader.load(textOf(5), storeRevision(12, 1), 'store');
	await time.runUntil(100);
	loader.load(textOf(8), storeRevision(20), 'peer');
	await time.runUntil(1000);
	assert.equal(loader.newestText, textOf(8));
	assert.equal(loader.seenVersion, 8);
	assert.equal(configuration.current?.version, 8);
});

test('a refused configuration is not handed to a VM that starts, which would have none', async () => {
	const {time, configuration, loader} = start();
	loader.load(textOf(8), storeRevision(20), 'store');
	await time.runUntil(1000);
	for (const text of ['{"version":9,"routes":[{}]}', '{"version":', '[]']) {
		loader.load(text, storeRevision(21), 'store');
		await time.runUntil(time.nowMs() + 1000);
		assert.equal(loader.newestText, textOf(8));
	}

	assert.equal(configuration.current?.version, 8);
});
