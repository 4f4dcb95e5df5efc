import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLogger} from '../../adapters/system/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createConfigurationState} from '../../decisions/serving/index.js';
import {createConfigurationLoader} from './configuration-loader.js';
import {fixtureConfiguration} from './testing/index.js';

test('guards against an older row, told late by another VM, being passed on as the newest', async () => {
	const time = new VirtualTime();
	const configuration = createConfigurationState();
	const loader = createConfigurationLoader({
		timers: time,
		configuration,
		logger: createLogger('test', 'error'),
	});
	const textOf = (version: number) =>
		JSON.stringify(fixtureConfiguration(version));
	loader.load(textOf(8), 20, 'store');
	loader.load(textOf(5), 12, 'peer');
	await time.runUntil(1000);
	assert.equal(loader.newestText, textOf(8));
	assert.equal(configuration.current?.version, 8);
});
