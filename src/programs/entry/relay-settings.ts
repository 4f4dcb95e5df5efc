import {
	defaultRelayLimits,
	type RelayLimits,
} from '../../decisions/streams/index.js';
import {checkInteger} from '../command-line.js';

/** Settings of the relay, which passes generations and calls on to targets. */
export type RelaySettings = {
	readonly limits: RelayLimits;
	/** Largest number of open streams; further requests are refused. */
	readonly maxOpenStreams: number;
	/** Time within which the header and body of a request must arrive, in milliseconds. */
	readonly requestTimeoutMs: number;
	/** Largest number of attempts of an idempotent call to a plain service. */
	readonly maxCallAttempts: number;
	/** Time for which a stopping daemon still accepts connections, in milliseconds. */
	readonly stopGraceMs: number;
};

type NumberFlag = {
	readonly defaultValue: number;
	readonly min: number;
	readonly max: number;
	/** Help text of the flag. */
	readonly describe: string;
};

const hourMs = 3_600_000;
const gibibyte = 1_073_741_824;
const limits = defaultRelayLimits;

const numberFlag = (
	defaultValue: number,
	min: number,
	max: number,
	describe: string,
): NumberFlag => ({defaultValue, min, max, describe});

const numberFlags = {
	'stall-factor': numberFlag(
		limits.stallFactor,
		2,
		1000,
		"silence that counts as a stall, as a multiple of the stream's time between tokens",
	),
	'stall-min-ms': numberFlag(
		limits.stallMinMs,
		10,
		hourMs,
		'lower bound of the silence that counts as a stall, in ms',
	),
	'stall-max-ms': numberFlag(
		limits.stallMaxMs,
		10,
		hourMs,
		'upper bound of the silence that counts as a stall, in ms',
	),
	'first-token-stall-ms': numberFlag(
		limits.firstTokenStallMs,
		10,
		hourMs,
		'silence before the first token after which the stream from the engine is reopened, in ms',
	),
	'silence-lost-ms': numberFlag(
		limits.silenceLostMs,
		100,
		hourMs,
		'silence after which a generation counts as lost, in ms',
	),
	'max-reopens': numberFlag(
		limits.maxReopens,
		0,
		100,
		'most consecutive failed streams from the engine; after one more, a generation counts as lost',
	),
	'max-attempts': numberFlag(
		limits.maxAttempts,
		1,
		100,
		'most generations that are started for one request',
	),
	'restart-window-ms': numberFlag(
		limits.restartWindowMs,
		0,
		hourMs,
		'longest time that a lost generation waits to be placed again, in ms',
	),
	'keep-alive-ms': numberFlag(
		limits.keepAliveMs,
		100,
		hourMs,
		'time between keep-alive comments to a waiting caller, in ms',
	),
	'max-stream-buffer-bytes': numberFlag(
		limits.maxStreamBufferBytes,
		1024,
		gibibyte,
		'most memory for the buffered tokens of one stream, in bytes',
	),
	'max-daemon-buffer-bytes': numberFlag(
		limits.maxDaemonBufferBytes,
		1024,
		4 * gibibyte,
		'most memory for the buffered tokens of all streams, in bytes',
	),
	'max-open-streams': numberFlag(
		4000,
		1,
		100_000,
		'largest number of open streams',
	),
	'request-timeout-ms': numberFlag(
		30_000,
		100,
		hourMs,
		'time within which a request must arrive completely, in ms',
	),
	'max-call-attempts': numberFlag(
		3,
		1,
		20,
		'most attempts of an idempotent call to a plain service',
	),
	'stop-grace-ms': numberFlag(
		0,
		0,
		hourMs,
		'time for which a stopping daemon still accepts connections, in ms',
	),
} as const;

/** Options of yargs for the settings of the relay. */
export const relayFlags = Object.fromEntries(
	Object.entries(numberFlags).map(([name, {defaultValue, describe}]) => [
		name,
		{type: 'number' as const, default: defaultValue, describe},
	]),
);

/**
 * Reads the settings of the relay from parsed flags.
 * @throws ProblemError `invalid-setting` if one is out of its range
 */
export function readRelaySettings(
	flags: Readonly<Record<string, unknown>>,
): RelaySettings {
	const read = (name: keyof typeof numberFlags) => {
		const {min, max} = numberFlags[name];
		return checkInteger(name, Number(flags[name]), min, max);
	};

	return {
		limits: {
			...limits,
			stallFactor: read('stall-factor'),
			stallMinMs: read('stall-min-ms'),
			stallMaxMs: read('stall-max-ms'),
			firstTokenStallMs: read('first-token-stall-ms'),
			silenceLostMs: read('silence-lost-ms'),
			maxReopens: read('max-reopens'),
			maxAttempts: read('max-attempts'),
			restartWindowMs: read('restart-window-ms'),
			keepAliveMs: read('keep-alive-ms'),
			maxStreamBufferBytes: read('max-stream-buffer-bytes'),
			maxDaemonBufferBytes: read('max-daemon-buffer-bytes'),
		},
		maxOpenStreams: read('max-open-streams'),
		requestTimeoutMs: read('request-timeout-ms'),
		maxCallAttempts: read('max-call-attempts'),
		stopGraceMs: read('stop-grace-ms'),
	};
}
