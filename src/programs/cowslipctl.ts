#!/usr/bin/env node
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {EtcdTableService} from '../adapters/platform/index.js';
import {createPeerClient} from '../adapters/peers/index.js';
import {ProblemError} from '../common/index.js';
import {
	applyChange,
	type ConfigurationEdit,
	createConfigurationStore,
	emptyConfiguration,
	type ExceptionScope,
	type SettingValue,
} from '../decisions/configuration/index.js';
import {commandLine, runProgram} from './command-line.js';

const tableTimeoutMs = 5000;
const waitStepMs = 200;

type Flags = {
	readonly platformUrl: string;
	readonly operatorToken: string;
	readonly entry: readonly string[];
	readonly author: string;
	readonly json: boolean;
	readonly wait: boolean;
	readonly waitTimeoutMs: number;
};

const print = (value: unknown) => {
	process.stdout.write(`${JSON.stringify(value)}\n`);
};

const parseValue = (text: string): SettingValue => {
	try {
		return JSON.parse(text) as SettingValue;
	} catch {
		return text;
	}
};

const storeOf = (flags: Flags) =>
	createConfigurationStore(
		new EtcdTableService({url: flags.platformUrl, timeoutMs: tableTimeoutMs}),
	);

async function readStatuses(flags: Flags) {
	return Promise.all(
		flags.entry.map(async (url) => {
			try {
				const client = createPeerClient({
					url,
					token: flags.operatorToken,
					timeoutMs: tableTimeoutMs,
				});
				return {url, ...(await client.status.query())};
			} catch {
				return {url, configurationVersion: -1, ready: false};
			}
		}),
	);
}

async function waitInForce(flags: Flags, version: number): Promise<void> {
	const deadlineMs = performance.now() + flags.waitTimeoutMs;
	for (;;) {
		const statuses = await readStatuses(flags);
		const lagging = statuses.filter(
			(status) => status.configurationVersion < version,
		);
		if (lagging.length === 0) {
			return;
		}

		if (performance.now() > deadlineMs) {
			throw new ProblemError(
				'deadline-exceeded',
				`version ${version} is not in force on ${lagging.map((one) => one.url).join(', ')}`,
			);
		}

		await new Promise((resolve) => {
			setTimeout(resolve, waitStepMs);
		});
	}
}

async function edit(
	flags: Flags,
	edits: readonly ConfigurationEdit[],
): Promise<void> {
	const store = storeOf(flags);
	const change = await store.commit({
		baseVersion: await store.headVersion(),
		changeId: randomUUID(),
		author: flags.author,
		atWallMs: Date.now(),
		edits,
	});
	if (flags.wait) {
		await waitInForce(flags, change.version);
	}

	print({version: change.version, inForce: flags.wait});
}

async function show(flags: Flags): Promise<void> {
	let configuration = emptyConfiguration;
	const store = storeOf(flags);
	for (;;) {
		const changes = await store.changesAfter(configuration.version);
		if (changes.length === 0) {
			break;
		}

		for (const change of changes) {
			configuration = applyChange(configuration, change);
		}
	}

	print({
		version: configuration.version,
		values: Object.fromEntries(configuration.values),
		exceptions: [...configuration.exceptions.values()],
	});
}

const scopeOf = (text: unknown) => String(text) as ExceptionScope;

await runProgram(async () => {
	await commandLine('cowslipctl')
		.usage('$0 <command>: reads and changes the fleet')
		.options({
			'platform-url': {
				type: 'string',
				demandOption: true,
				describe: 'base URL of the platform',
			},
			'operator-token': {
				type: 'string',
				default: '',
				describe: 'token of the operator',
			},
			entry: {
				type: 'array',
				string: true,
				default: [] as string[],
				describe: "URL of an entry VM's peer port; may be repeated",
			},
			author: {
				type: 'string',
				default: 'operator',
				describe: 'name written into the history',
			},
			json: {type: 'boolean', default: true, describe: 'print JSON'},
			wait: {
				type: 'boolean',
				default: false,
				describe: 'wait until the change is in force on every --entry',
			},
			'wait-timeout-ms': {
				type: 'number',
				default: 11_000,
				describe: 'how long to wait, in ms',
			},
		})
		.command('show', 'prints the configuration in force', {}, async (argv) =>
			show(argv as never),
		)
		.command('history', 'prints every change', {}, async (argv) => {
			print(await storeOf(argv as never).changesAfter(0));
		})
		.command('status', 'prints the state of each --entry', {}, async (argv) => {
			print(await readStatuses(argv as never));
		})
		.command(
			'set <key> <value>',
			'changes a fleet-wide default',
			{},
			async (argv) =>
				edit(argv as never, [
					{
						op: 'set',
						key: String(argv.key),
						value: parseValue(String(argv.value)),
					},
				]),
		)
		.command('unset <key>', 'takes a default back', {}, async (argv) =>
			edit(argv as never, [{op: 'unset', key: String(argv.key)}]),
		)
		.command(
			'except <scope> <key> <value> <reason>',
			'adds an exception',
			{},
			async (argv) =>
				edit(argv as never, [
					{
						op: 'except',
						scope: scopeOf(argv.scope),
						key: String(argv.key),
						value: parseValue(String(argv.value)),
						reason: String(argv.reason),
					},
				]),
		)
		.command(
			'unexcept <scope> <key>',
			'removes an exception',
			{},
			async (argv) =>
				edit(argv as never, [
					{op: 'unexcept', scope: scopeOf(argv.scope), key: String(argv.key)},
				]),
		)
		.demandCommand(1)
		.completion()
		.strict()
		.parseAsync();
});
