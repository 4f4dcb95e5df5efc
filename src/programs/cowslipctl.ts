#!/usr/bin/env node
import {checkInteger, createCommandLine, runProgram} from './command-line.js';
import {addConfigurationCommands} from './ctl/configuration-commands.js';
import type {ControlContext} from './ctl/control-context.js';
import {createFleetClient} from './ctl/fleet-client.js';
import {addFleetCommands} from './ctl/fleet-commands.js';
import {createOutput} from './ctl/output.js';

const maxTimeoutMs = 3_600_000;
const maxVersion = Number.MAX_SAFE_INTEGER;

type SharedFlags = {
	readonly platformUrl: string;
	readonly operatorToken: string;
	readonly entry: readonly string[];
	readonly author: string;
	readonly json: boolean;
	readonly wait: boolean;
	readonly waitTimeoutMs: number;
	readonly callTimeoutMs: number;
	readonly baseVersion?: number;
};

function contextOf(given: unknown): ControlContext {
	const flags = given as SharedFlags;
	return {
		output: createOutput(flags.json),
		fleet: createFleetClient({
			platformUrl: flags.platformUrl,
			operatorToken: flags.operatorToken,
			entryUrls: flags.entry,
			callTimeoutMs: checkInteger(
				'call-timeout-ms',
				flags.callTimeoutMs,
				1,
				maxTimeoutMs,
			),
		}),
		flags: {
			author: flags.author,
			wait: flags.wait,
			waitTimeoutMs: checkInteger(
				'wait-timeout-ms',
				flags.waitTimeoutMs,
				1,
				maxTimeoutMs,
			),
			baseVersion:
				flags.baseVersion === undefined
					? undefined
					: checkInteger('base-version', flags.baseVersion, 0, maxVersion),
		},
	};
}

await runProgram(async () => {
	const line = createCommandLine('cowslipctl')
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
				describe:
					"URL of an entry VM's peer port, may be repeated; without it the VM list is read",
			},
			author: {
				type: 'string',
				default: 'operator',
				describe: 'name written into the history',
			},
			json: {type: 'boolean', default: false, describe: 'print JSON'},
			wait: {
				type: 'boolean',
				default: false,
				describe: 'wait until the change is in force on every entry VM',
			},
			'wait-timeout-ms': {
				type: 'number',
				default: 11_000,
				describe: 'how long to wait, in ms',
			},
			'call-timeout-ms': {
				type: 'number',
				default: 5000,
				describe: 'time until a call fails, in ms',
			},
			'base-version': {
				type: 'number',
				describe:
					'version that the change builds on; refused if another change came since',
			},
		});
	await addFleetCommands(addConfigurationCommands(line, contextOf), contextOf)
		.demandCommand(1)
		.completion()
		.strict()
		.parseAsync();
});
