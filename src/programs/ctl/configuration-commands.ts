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

/** Adds the commands that read and change the configuration. */
export function addConfigurationCommands(
	parser: Argv,
	createContext: (flags: unknown) => ControlContext,
): Argv {
	return parser
		.command(
			'show',
			'prints the fleet-wide defaults that were set and the exceptions',
			{},
			async (flags) => show(createContext(flags)),
		)
		.command(
			'settings',
			'prints every setting with its unit and built-in default',
			{},
			(flags) => {
				settings(createContext(flags));
			},
		)
		.command(
			'history',
			'prints every change of the configuration',
			{},
			async (flags) => history(createContext(flags)),
		)
		.command(
			'set <key> <value>',
			'sets a fleet-wide default; the value is JSON, or text if it is not valid JSON',
			{},
			async (flags) =>
				edit(createContext(flags), {
					op: 'set',
					key: String(flags.key),
					value: parseValue(String(flags.value)),
				}),
		)
		.command(
			'unset <key>',
			'removes a fleet-wide default; the built-in default, if any, applies again',
			{},
			async (flags) =>
				edit(createContext(flags), {op: 'unset', key: String(flags.key)}),
		)
		.command(
			'except <scope> <key> <value> <reason>',
			'adds an exception and its reason; scope is account:NAME, class:NAME, zone:NAME or target:NAME',
			{},
			async (flags) =>
				edit(createContext(flags), {
					op: 'except',
					scope: String(flags.scope) as ExceptionScope,
					key: String(flags.key),
					value: parseValue(String(flags.value)),
					reason: String(flags.reason),
				}),
		)
		.command(
			'unexcept <scope> <key>',
			'removes an exception',
			{},
			async (flags) =>
				edit(createContext(flags), {
					op: 'unexcept',
					scope: String(flags.scope) as ExceptionScope,
					key: String(flags.key),
				}),
		);
}

/** Parses a value as JSON; text that is not valid JSON is the value itself. */
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
		edits: edits.map((item) => JSON.stringify(item)).join(' '),
	}));
	context.output.print(changes, lines);
}

async function edit(
	context: ControlContext,
	requestedEdit: ConfigurationEdit,
): Promise<void> {
	const {fleet, output, flags} = context;
	const {version} = await fleet.configurationStore.commit({
		baseVersion:
			flags.baseVersion ?? (await fleet.configurationStore.headVersion()),
		changeId: randomUUID(),
		author: flags.author,
		atWallMs: Date.now(),
		edits: [requestedEdit],
	});
	if (flags.wait) {
		try {
			await fleet.waitUntilInForce(version, flags.waitTimeoutMs);
		} catch (error) {
			output.print({version, inForce: false}, [{version, 'in force': false}]);
			throw error instanceof ProblemError
				? error
				: new ProblemError(
						'internal',
						'waiting for the change to be in force failed',
						{
							cause: error as Error,
						},
					);
		}
	}

	output.print({version, inForce: flags.wait}, [
		{version, 'in force': flags.wait ? 'on every entry VM' : 'not waited for'},
	]);
}
