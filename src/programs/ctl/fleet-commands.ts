import type {Argv} from 'yargs';
import {ProblemError} from '../../common/index.js';
import type {ControlContext} from './control-context.js';
import type {TableLine} from './output.js';

const minuteMs = 60_000;

/** Commands that read the state of the fleet. */
export function addFleetCommands(
	line: Argv,
	contextOf: (flags: unknown) => ControlContext,
): Argv {
	return line
		.command(
			'status',
			'prints the state of each entry VM and the configuration version in force there',
			{},
			async (flags) => status(contextOf(flags)),
		)
		.command(
			'explain',
			'prints what the fleet did by itself, and why, for one subject or one minute',
			{
				subject: {
					type: 'string',
					describe:
						'request id, generation id, target id, account:NAME or service:NAME',
				},
				minute: {
					type: 'string',
					describe: 'time within the minute, for example 2026-05-04T10:31Z',
				},
			},
			async (flags) => explain(contextOf(flags), flags),
		)
		.command(
			'metrics',
			'prints counters and histograms of each entry VM',
			{},
			async (flags) => metrics(contextOf(flags)),
		);
}

async function status(context: ControlContext): Promise<void> {
	const entries = await context.fleet.readEntries();
	const highest = Math.max(
		0,
		...entries.map((entry) => entry.status?.configurationVersion ?? 0),
	);
	const lines = entries.map(({url, status: state, problem}): TableLine =>
		state
			? {
					vm: state.name,
					zone: state.availabilityZone,
					version: state.configurationVersion,
					lags: state.configurationVersion < highest,
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

function explainQuery(flags: {
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
			'explain needs --subject NAME or --minute TIME in ISO 8601',
			{field: 'minute'},
		);
	}

	return {minute: Math.floor(atMs / minuteMs)};
}

async function explain(
	context: ControlContext,
	flags: {readonly subject?: string; readonly minute?: string},
): Promise<void> {
	const query = explainQuery(flags);
	const answers = await context.fleet.queryEntries(async (client) =>
		client.explain.query(query),
	);
	const records = [...answers]
		.flatMap(([vm, found]) => found.map((record) => ({vm, ...record})))
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
	const texts = await context.fleet.queryEntries(async (client) =>
		client.metrics.query(),
	);
	if (texts.size === 0) {
		throw new ProblemError('peer-unavailable', 'no entry VM could be reached');
	}

	const lines = [...texts].flatMap(([vm, text]) =>
		text
			.trimEnd()
			.split('\n')
			.map((row) => {
				const at = row.lastIndexOf(' ');
				return {vm, name: row.slice(0, at), value: row.slice(at + 1)};
			}),
	);
	context.output.print(Object.fromEntries(texts), lines);
}
