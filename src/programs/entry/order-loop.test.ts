import assert from 'node:assert/strict';
import type {Server} from 'node:http';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {createPeerClient, TrpcLeasePeers} from '../../adapters/peers/index.js';
import {EtcdTableService} from '../../adapters/standalone-platform/index.js';
import {createConfigurationStore} from '../../decisions/configuration/index.js';
import {
	createEngineServer,
	createPlatformServer,
} from '../../standins/index.js';
import {createEntry} from './create-entry.js';
import {listen} from './listen.js';
import {readEntrySettings} from './settings.js';

const waitStepMs = 50;
const maxWaits = 600;

async function serve(server: Server, context: TestContext): Promise<string> {
	const port = await listen(server, 0, '127.0.0.1');
	context.after(() => {
		server.close();
		server.closeAllConnections();
	});
	return `http://127.0.0.1:${port}`;
}

async function until(
	what: string,
	condition: () => Promise<boolean>,
): Promise<void> {
	for (let waits = 0; waits < maxWaits; waits++) {
		if (await condition()) {
			return;
		}

		await new Promise((resolve) => {
			setTimeout(resolve, waitStepMs);
		});
	}

	assert.fail(what);
}

async function startEntry(platformUrl: string, context: TestContext) {
	const argv = [...process.argv];
	process.argv.push(
		'--name',
		'entry-1',
		'--vm-instance-id',
		'vm-1',
		'--listen-port',
		'0',
		'--peer-port',
		'0',
		'--availability-zone',
		'zone-1',
		'--region',
		'region-1',
		'--platform-url',
		platformUrl,
		'--account-tokens',
		'a=a-token',
		'--peer-token',
		'peer-token',
		'--operator-token',
		'operator-token',
		'--stream-key',
		'stream-key',
		'--poll-interval-ms',
		'200',
		'--stop-grace-ms',
		'0',
		'--log-level',
		'error',
	);
	const settings = await readEntrySettings();
	process.argv = argv;
	const entry = await createEntry(settings);
	context.after(async () => entry.stop());
	return entry;
}

const engineOptions = {
	capacityTokens: 10_000,
	maxRunning: 8,
	stepBaseMs: 10,
	stepPerRunningMs: 1,
	prefillPerTokenMs: 0,
	reportLagMs: 0,
	retainMs: 1000,
	refusesOldOrders: true,
};

async function modelsOf(engineUrl: string): Promise<readonly string[]> {
	const response = await fetch(`${engineUrl}/load`);
	return ((await response.json()) as {models: string[]}).models;
}

// Guards against a duty that is not wired to the table, the targets, the configuration or the peers.
test('an entry VM loads a wanted model, explains it and confirms a stop', async (context) => {
	const platformUrl = await serve(
		createPlatformServer({
			tableDelayMs: 0,
			vmListLagMs: 0,
			weightBytesPerSecond: 1000,
		}),
		context,
	);
	const engineUrls = [
		await serve(
			createEngineServer({...engineOptions, models: ['inspector']}),
			context,
		),
		await serve(createEngineServer({...engineOptions, models: []}), context),
	];
	const table = new EtcdTableService({url: platformUrl, timeoutMs: 2000});
	const target = (index: number) => ({
		kind: 'engine',
		url: engineUrls[index],
		availabilityZone: `zone-${index + 1}`,
		models: ['inspector'],
		fencing: 'refuses-old',
	});
	const model = {minCopies: 2, tokensPerSecondPerCopy: 1000};
	await createConfigurationStore(table).commit({
		baseVersion: 0,
		changeId: 'change-1',
		author: 'test',
		atWallMs: 0,
		edits: [
			{op: 'set', key: 'target.engine-1', value: target(0)},
			{op: 'set', key: 'target.engine-2', value: target(1)},
			{op: 'set', key: 'model.inspector', value: model},
			{op: 'set', key: 'lease.renewalMs', value: 250},
		],
	});
	const entry = await startEntry(platformUrl, context);
	const address = `127.0.0.1:${entry.peerPort}`;
	const vm = {
		instanceId: 'vm-1',
		role: 'entry',
		name: 'entry-1',
		availabilityZone: 'zone-1',
		region: 'region-1',
		address,
		state: 'live',
	};
	await fetch(`${platformUrl}/vms`, {
		method: 'PUT',
		body: JSON.stringify([vm]),
	});

	await until('the model was not loaded', async () => {
		const models = await modelsOf(engineUrls[1]);
		return models.includes('inspector');
	});
	await until('the intent was not cleared', async () => {
		const row = await table.get('lease/engine-2');
		return row !== undefined && !row.value.includes('"intent"');
	});
	assert.ok(await table.get('weight-budget'));

	const operator = createPeerClient({
		url: `http://${address}`,
		token: 'operator-token',
		timeoutMs: 2000,
	});
	const records = await operator.explain.query({subject: 'engine-2'});
	assert.ok(records.some((one) => one.result === 'accepted'));
	assert.ok(records.some((one) => one.cause.includes('2 wanted')));

	const peers = new TrpcLeasePeers({
		addressOf: () => address,
		token: 'peer-token',
		timeoutMs: 2000,
	});
	const ask = async (vmInstanceId: string, incarnation: string) =>
		peers.confirmStop({
			targetId: 'engine-2',
			holder: {vmInstanceId, incarnation, listSequence: 0},
			fencingNumber: 1000,
		});
	const {instanceId} = await operator.status.query();
	assert.equal(await ask('vm-1', instanceId), 'stopped');
	assert.equal(await ask('vm-1', 'earlier run'), 'gone');
	assert.equal(await ask('vm-2', instanceId), 'busy');
});
