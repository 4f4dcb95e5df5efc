import {randomUUID} from 'node:crypto';
import type {Argv} from 'yargs';
import {ProblemError} from '../../common/index.js';
import {
	applyChange,
	type ConfigurationChange,
	type ConfigurationEdit,
	emptyConfiguration,
	type ExceptionScope,
	type FleetConfiguration,
	settingSchemas,
	type SettingValue,
} from '../../decisions/configuration/index.js';
import type {ControlContext} from './control-context.js';
import type {TableLine} from './output.js';

/** Commands that read and change the configuration. */
export function addConfigurationCommands(
	line: Argv,
	contextOf: (flags: unknown) => ControlContext,
): Argv {
	return line
		.command(
			'show',
			'prints every default and exception in force',
			{},
			async (flags) => show(contextOf(flags)),
		)
		.command(
			'settings',
			'prints every setting with its unit and built-in default',
			{},
			(flags) => {
				settings(contextOf(flags));
			},
		)
		.command('history', 'prints every change', {}, async (flags) =>
			history(contextOf(flags)),
		)
		.command(
			'set <key> <value>',
			'changes a fleet-wide default; a value is JSON or text',
			{},
			async (flags) =>
				edit(contextOf(flags), {
					op: 'set',
					key: String(flags.key),
					value: parseValue(String(flags.value)),
				}),
		)
		.command(
			'unset <key>',
			'takes a fleet-wide default back',
			{},
			async (flags) =>
				edit(contextOf(flags), {op: 'unset', key: String(flags.key)}),
		)
		.command(
			'except <scope> <key> <value> <reason>',
			'adds an exception with a written reason; scope is account:NAME, class:NAME, zone:NAME or target:NAME',
			{},
			async (flags) =>
				edit(contextOf(flags), {
					op: 'except',
					scope: String(flags.scope) as ExceptionScope,
					key: String(flags.key),
					value: parseValue(String(flags.value)),
					reason: String(flags.reason),
				}),
		)
		.command(
			'unexcept <scope> <key>',
			'retires an exception',
			{},
			async (flags) =>
				edit(contextOf(flags), {
					op: 'unexcept',
					scope: String(flags.scope) as ExceptionScope,
					key: String(flags.key),
				}),
		);
}

function parseValue(text: string): SettingValue {
	try {
		return JSON.parse(text) as SettingValue;
	} catch {
		return text;
	}
}

async function readAllChanges(
	context: ControlContext,
): Promise<readonly ConfigurationChange[]> {
	const changes: ConfigurationChange[] = [];
	for (;;) {
		const page = await context.fleet.configurationStore.changesAfter(
			changes.at(-1)?.version ?? 0,
		);
		if (page.length === 0) {
			return changes;
		}

		changes.push(...page);
	}
}

async function readConfiguration(
	context: ControlContext,
): Promise<FleetConfiguration> {
	let configuration = emptyConfiguration;
	for (const change of await readAllChanges(context)) {
		configuration = applyChange(configuration, change);
	}

	return configuration;
}

async function show(context: ControlContext): Promise<void> {
	const {version, values, exceptions} = await readConfiguration(context);
	const lines: TableLine[] = [
		...[...values].map(([key, value]) => ({
			scope: 'fleet',
			key,
			value: JSON.stringify(value),
			reason: '',
		})),
		...[...exceptions.values()].map(({scope, key, value, reason}) => ({
			scope,
			key,
			value: JSON.stringify(value),
			reason,
		})),
	];
	context.output.print(
		{
			version,
			values: Object.fromEntries(values),
			exceptions: [...exceptions.values()],
		},
		lines,
	);
}

function settings(context: ControlContext): void {
	const lines = Object.entries(settingSchemas).map(
		([key, {defaultValue, allowed}]) => ({
			key,
			default: JSON.stringify(defaultValue),
			allowed,
		}),
	);
	context.output.print(lines, lines);
}

async function history(context: ControlContext): Promise<void> {
	const changes = await readAllChanges(context);
	const lines = changes.map(({version, author, atWallMs, edits}) => ({
		version,
		at: new Date(atWallMs).toISOString(),
		author,
		edits: edits.map((one) => JSON.stringify(one)).join(' '),
	}));
	context.output.print(changes, lines);
}

async function edit(
	context: ControlContext,
	change: ConfigurationEdit,
): Promise<void> {
	const {fleet, output, flags} = context;
	const {version} = await fleet.configurationStore.commit({
		baseVersion:
			flags.baseVersion ?? (await fleet.configurationStore.headVersion()),
		changeId: randomUUID(),
		author: flags.author,
		atWallMs: Date.now(),
		edits: [change],
	});
	if (flags.wait) {
		try {
			await fleet.waitUntilInForce(version, flags.waitTimeoutMs);
		} catch (error) {
			output.print({version, inForce: false}, [{version, 'in force': false}]);
			throw error instanceof ProblemError
				? error
				: new ProblemError('internal', 'waiting for the change failed', {
						cause: error as Error,
					});
		}
	}

	output.print({version, inForce: flags.wait}, [
		{version, 'in force': flags.wait ? 'on every entry VM' : 'not waited for'},
	]);
}
