import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	type LogLevel,
	readHeapLimitBytes,
} from '../../adapters/system/index.js';
import {ProblemError, type VmSettings} from '../../common/index.js';
import type {ResponseLimits} from '../../decisions/serving/index.js';
import {bootFileVariable, decodeBootFile} from '../../platform/index.js';
import {checkInteger, createCommandLine} from '../command-line.js';

/** Settings of the front daemon. */
export type FrontSettings = {
	readonly bootFile: string;
	/** Content of the boot file at the start. */
	readonly vm: VmSettings;
	/** Port of the metrics endpoint; 0 disables it. */
	readonly metricsPort: number;
	/** Timeout of a store request, in milliseconds. */
	readonly storeTimeoutMs: number;
	/** Longest duration of a long poll for changes of the store, in milliseconds. */
	readonly storeWaitMs: number;
	/** Log output that may be buffered while its reader is slow, in bytes. */
	readonly maxLogBacklogBytes: number;
	readonly responseLimits: ResponseLimits;
	/** Response bytes that may be buffered for a caller that does not read. */
	readonly maxUnreadBytes: number;
	/** Time in which a caller must read what waits for it, in milliseconds. */
	readonly maxUnreadMs: number;
	/** Time within which a caller must have sent a whole request, in milliseconds. */
	readonly maxReceiveMs: number;
	/** Percentage of the VM's memory that requests may hold before new ones are refused. */
	readonly requestMemoryPercent: number;
	/** Limit of the heap of this process, in bytes. */
	readonly heapLimitBytes: number;
	/** Percentage of a port's connections, and of the open requests, that one address may hold. */
	readonly addressConnectionsPercent: number;
	/** Percentage of the VM's descriptors for connections to each port other than that for callers. */
	readonly pageConnectionsPercent: number;
	/** Percentage of the VM's memory for requests that are not received whole. */
	readonly receiveMemoryPercent: number;
	readonly logLevel: LogLevel;
	/** True to check the settings and exit. */
	readonly checkOnly: boolean;
};

const maxPort = 65_535;

/**
 * Reads the boot file.
 * @throws ProblemError `invalid-setting`
 */
export function readBootFile(path: string): VmSettings {
	let text: string;
	try {
		text = readFileSync(path, 'utf8');
	} catch (error) {
		throw new ProblemError(
			'invalid-setting',
			`the boot file "${path}" cannot be read`,
			{cause: error as Error, field: 'boot-file'},
		);
	}

	return decodeBootFile(text);
}

/**
 * Reads flags, environment variables and the boot file.
 * @throws ProblemError `invalid-setting`
 */
export async function readFrontSettings(): Promise<FrontSettings> {
	const flags = await createCommandLine('cowslip-front')
		.usage("$0: serves callers on one VM of the users' platform")
		.options({
			'boot-file': {
				type: 'string',
				default: process.env[bootFileVariable],
				demandOption: process.env[bootFileVariable] === undefined,
				describe: `file with the settings of this VM; ${bootFileVariable} if absent`,
			},
			'metrics-port': {
				type: 'number',
				default: 9464,
				describe: 'port of the metrics page, 0 for none',
			},
			'store-timeout-ms': {
				type: 'number',
				default: 800,
				describe: 'time in which the store must answer, in ms',
			},
			'store-wait-ms': {
				type: 'number',
				default: 4000,
				describe: 'time after which a wait for changes is renewed, in ms',
			},
			'max-log-backlog-bytes': {
				type: 'number',
				default: 262_144,
				describe: 'log output that may wait for its reader, in bytes',
			},
			'max-answer-bytes': {
				type: 'number',
				default: 1_048_576,
				describe: 'largest answer to a call, in bytes (16384 to 67108864)',
			},
			'max-event-bytes': {
				type: 'number',
				default: 262_144,
				describe: 'largest event of a stream, in bytes (4096 to 16777216)',
			},
			'max-stream-bytes': {
				type: 'number',
				default: 16_777_216,
				describe:
					'all events of a stream together, in bytes (65536 to 1073741824)',
			},
			'max-unread-bytes': {
				type: 'number',
				default: 1_048_576,
				describe:
					'bytes that may wait for a caller that does not read (16384 to 67108864)',
			},
			'max-unread-ms': {
				type: 'number',
				default: 10_000,
				describe:
					'time in which a caller must read what waits for it, in ms (500 to 600000)',
			},
			'max-receive-ms': {
				type: 'number',
				default: 30_000,
				describe:
					'time in which a caller must have sent a whole request, in ms (1000 to 600000)',
			},
			'request-memory-percent': {
				type: 'number',
				default: 15,
				describe:
					"part of the VM's memory that requests may hold before new ones are refused, in percent (1 to 50)",
			},
			'address-connections-percent': {
				type: 'number',
				default: 50,
				describe:
					"part of a port's connections, and of the open requests, that one address may hold, in percent (1 to 100)",
			},
			'page-connections-percent': {
				type: 'number',
				default: 3,
				describe:
					"part of the VM's descriptors for connections to each of the ports for readiness, metrics and peers, in percent (1 to 10)",
			},
			'receive-memory-percent': {
				type: 'number',
				default: 4,
				describe:
					"part of the VM's memory for requests that are not received whole, in percent (1 to 50)",
			},
			'log-level': {
				choices: ['error', 'warn', 'info', 'debug'] as const,
				default: 'info' as const,
				describe: 'least level that is logged',
			},
			check: {
				type: 'boolean',
				default: false,
				describe: 'check the settings and end',
			},
		})
		.parseAsync();
	const bootFile = flags['boot-file'] ?? '';
	return {
		bootFile,
		vm: readBootFile(bootFile),
		metricsPort: checkInteger(
			'metrics-port',
			flags['metrics-port'],
			0,
			maxPort,
		),
		storeTimeoutMs: checkInteger(
			'store-timeout-ms',
			flags['store-timeout-ms'],
			50,
			10_000,
		),
		storeWaitMs: checkInteger(
			'store-wait-ms',
			flags['store-wait-ms'],
			100,
			30_000,
		),
		maxLogBacklogBytes: checkInteger(
			'max-log-backlog-bytes',
			flags['max-log-backlog-bytes'],
			1024,
			16_777_216,
		),
		responseLimits: {
			maxResponseBytes: checkInteger(
				'max-answer-bytes',
				flags['max-answer-bytes'],
				16_384,
				67_108_864,
			),
			maxEventBytes: checkInteger(
				'max-event-bytes',
				flags['max-event-bytes'],
				4096,
				16_777_216,
			),
			maxStreamBytes: checkInteger(
				'max-stream-bytes',
				flags['max-stream-bytes'],
				65_536,
				1_073_741_824,
			),
		},
		maxUnreadBytes: checkInteger(
			'max-unread-bytes',
			flags['max-unread-bytes'],
			16_384,
			67_108_864,
		),
		maxUnreadMs: checkInteger(
			'max-unread-ms',
			flags['max-unread-ms'],
			500,
			600_000,
		),
		maxReceiveMs: checkInteger(
			'max-receive-ms',
			flags['max-receive-ms'],
			1000,
			600_000,
		),
		requestMemoryPercent: checkInteger(
			'request-memory-percent',
			flags['request-memory-percent'],
			1,
			50,
		),
		heapLimitBytes: readHeapLimitBytes(),
		addressConnectionsPercent: checkInteger(
			'address-connections-percent',
			flags['address-connections-percent'],
			1,
			100,
		),
		pageConnectionsPercent: checkInteger(
			'page-connections-percent',
			flags['page-connections-percent'],
			1,
			10,
		),
		receiveMemoryPercent: checkInteger(
			'receive-memory-percent',
			flags['receive-memory-percent'],
			1,
			50,
		),
		logLevel: flags['log-level'],
		checkOnly: flags.check,
	};
}
