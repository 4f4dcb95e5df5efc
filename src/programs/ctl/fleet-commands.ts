import type {Argv} from 'yargs';
import {ProblemError} from '../../common/index.js';
import type {ControlContext} from './control-context.js';
import type {TableLine} from './output.js';

const minuteMs = 60_000;

/** Adds the commands that read the state of the fleet. */
export function addFleetCommands(
	parser: Argv,
	createContext: (flags: unknown) => ControlContext,
): Argv {
	return parser
		.command(
			'status',
			'prints the state of each entry VM and its configuration version',
			{},
			async (flags) => status(createContext(flags)),
		)
		.command(
			'explain',
			'prints automatic actions of the fleet and their causes, for one subject or one minute',
			{
				subject: {
					type: 'string',
					describe:
						'request id, generation id, target id, account:NAME or service:NAME',
				},
				minute: {
					type: 'string',
					describe: 'any time within the minute, for example 2026-05-04T10:31Z',
				},
			},
			async (flags) => explain(createContext(flags), flags),
		)
		.command(
			'metrics',
			'prints the counters and histograms of each entry VM',
			{},
			async (flags) => metrics(createContext(flags)),
		);
}

async function status(context: ControlContext): Promise<void> {
	const entries = await context.fleet.readEntries();
	const latestVersion = Math.max(
		0,
		...entries.map((entry) => entry.status?.configurationVersion ?? 0),
	);
	const lines = entries.map(({url, status: state, problem}): TableLine =>
		state
			? {
					vm: state.name,
					zone: state.availabilityZone,
					version: state.configurationVersion,
					lags: state.configurationVersion < latestVersion,
					ready: state.ready,
					stopping: state.stopping,
					streams: state.openStreams,
				}
			: {
					vm: url,
					zone: '',
					version: '',
					lags: true,
					ready: `unreachable: ${problem}`,
				},
	);
	context.output.print(entries, lines);
}

function parseExplainQuery(flags: {
	readonly subject?: string;
	readonly minute?: string;
}): {subject: string} | {minute: number} {
	if (flags.subject !== undefined) {
		return {subject: flags.subject};
	}

	const atMs = Date.parse(flags.minute ?? '');
	if (Number.isNaN(atMs)) {
		throw new ProblemError(
			'invalid-setting',
			'explain needs either --subject NAME or --minute TIME, with the time in ISO 8601',
			{field: 'minute'},
		);
	}

	return {minute: Math.floor(atMs / minuteMs)};
}

async function explain(
	context: ControlContext,
	flags: {readonly subject?: string; readonly minute?: string},
): Promise<void> {
	const query = parseExplainQuery(flags);
	const recordsByVm = await context.fleet.queryEntries(async (client) =>
		client.explain.query(query),
	);
	const records = [...recordsByVm]
		.flatMap(([vm, vmRecords]) => vmRecords.map((record) => ({vm, ...record})))
		.sort((a, b) => a.atWallMs - b.atWallMs);
	const lines = records.map(({vm, atWallMs, kind, subject, cause, result}) => ({
		at: new Date(atWallMs).toISOString(),
		vm,
		kind,
		subject,
		cause,
		result,
	}));
	context.output.print(records, lines);
}

async function metrics(context: ControlContext): Promise<void> {
	const textsByVm = await context.fleet.queryEntries(async (client) =>
		client.metrics.query(),
	);
	if (textsByVm.size === 0) {
		throw new ProblemError(
			'peer-unavailable',
			'metrics could not be read from any entry VM',
		);
	}

	const lines = [...textsByVm].flatMap(([vm, text]) =>
		text
			.trimEnd()
			.split('\n')
			.map((row) => {
				const separatorIndex = row.lastIndexOf(' ');
				return {
					vm,
					name: row.slice(0, separatorIndex),
					value: row.slice(separatorIndex + 1),
				};
			}),
	);
	context.output.print(Object.fromEntries(textsByVm), lines);
}
