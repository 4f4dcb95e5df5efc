#!/usr/bin/env node
import {checkInteger, createCommandLine, runProgram} from './command-line.js';
import {addConfigurationCommands} from './ctl/configuration-commands.js';
import type {ControlContext} from './ctl/control-context.js';
import {createFleetClient} from './ctl/fleet-client.js';
import {addFleetCommands} from './ctl/fleet-commands.js';
import {createOutput} from './ctl/output.js';

const maxTimeoutMs = 3_600_000;
const maxVersion = Number.MAX_SAFE_INTEGER;

/** Flags of every command, under the camel-cased names that yargs gives them. */
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

function createContext(parsedFlags: unknown): ControlContext {
	const flags = parsedFlags as SharedFlags;
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
	const parser = createCommandLine('cowslipctl')
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
					"URL of an entry VM's peer port, may be repeated; if absent, all entry VMs of the VM list are used",
			},
			author: {
				type: 'string',
				default: 'operator',
				describe: 'author recorded in the configuration history',
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
				describe: 'longest time that --wait waits, in ms',
			},
			'call-timeout-ms': {
				type: 'number',
				default: 5000,
				describe:
					'timeout of each request to the platform and to entry VMs, in ms',
			},
			'base-version': {
				type: 'number',
				describe:
					'configuration version that the change is based on; the change is refused if there is a later version',
			},
		});
	await addFleetCommands(
		addConfigurationCommands(parser, createContext),
		createContext,
	)
		.demandCommand(1)
		.completion()
		.strict()
		.parseAsync();
});
