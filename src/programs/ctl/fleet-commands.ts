import type {Argv} from 'yargs';
import {ProblemError} from '../../common/index.js';
import type {ControlContext} from './control-context.js';
import type {TableLine} from './output.js';

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

async function metrics(context: ControlContext): Promise<void> {
	const texts = await context.fleet.askEntries(async (client) =>
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
