import {
	defaultRelayLimits,
	type RelayLimits,
} from '../../decisions/streams/index.js';
import {checkInteger} from '../command-line.js';

/** Settings of the relay of an entry daemon. */
export type RelaySettings = {
	readonly limits: RelayLimits;
	/** Largest number of open streams. */
	readonly maxOpenStreams: number;
	/** Time in which a request's header and body must have arrived, in milliseconds. */
	readonly requestTimeoutMs: number;
	/** Attempts of an idempotent call to a plain service. */
	readonly maxCallAttempts: number;
	/** Time for which a stopping daemon still takes connections, in milliseconds. */
	readonly stopGraceMs: number;
};

type NumberFlag = {
	readonly defaultValue: number;
	readonly min: number;
	readonly max: number;
	readonly describe: string;
};

const hourMs = 3_600_000;
const gibibyte = 1_073_741_824;
const limits = defaultRelayLimits;

const flag = (
	defaultValue: number,
	min: number,
	max: number,
	describe: string,
): NumberFlag => ({defaultValue, min, max, describe});

const numberFlags = {
	'stall-factor': flag(
		limits.stallFactor,
		2,
		1000,
		"silence that counts as a stall, as a multiple of the stream's own time between tokens",
	),
	'stall-min-ms': flag(
		limits.stallMinMs,
		10,
		hourMs,
		'shortest silence that counts as a stall, in ms',
	),
	'stall-max-ms': flag(
		limits.stallMaxMs,
		10,
		hourMs,
		'silence that counts as a stall in any case, in ms',
	),
	'first-token-stall-ms': flag(
		limits.firstTokenStallMs,
		10,
		hourMs,
		'silence before the first token until the link is opened again, in ms',
	),
	'silence-lost-ms': flag(
		limits.silenceLostMs,
		100,
		hourMs,
		'silence after which a generation counts as lost, in ms',
	),
	'max-reopens': flag(
		limits.maxReopens,
		0,
		100,
		'failed links in a row after which a generation counts as lost',
	),
	'max-attempts': flag(
		limits.maxAttempts,
		1,
		100,
		'generations that may be started for one request',
	),
	'restart-window-ms': flag(
		limits.restartWindowMs,
		0,
		hourMs,
		'how long a lost generation waits for a new place, in ms',
	),
	'keep-alive-ms': flag(
		limits.keepAliveMs,
		100,
		hourMs,
		'time between comments to a waiting caller, in ms',
	),
	'max-stream-buffer-bytes': flag(
		limits.maxStreamBufferBytes,
		1024,
		gibibyte,
		'memory for the held-back tokens of one stream, in bytes',
	),
	'max-daemon-buffer-bytes': flag(
		limits.maxDaemonBufferBytes,
		1024,
		4 * gibibyte,
		'memory for the held-back tokens of all streams, in bytes',
	),
	'max-open-streams': flag(4000, 1, 100_000, 'largest number of open streams'),
	'request-timeout-ms': flag(
		30_000,
		100,
		hourMs,
		'time in which a request must have arrived, in ms',
	),
	'max-call-attempts': flag(
		3,
		1,
		20,
		'attempts of an idempotent call to a plain service',
	),
	'stop-grace-ms': flag(
		0,
		0,
		hourMs,
		'time for which a stopping daemon still takes connections, in ms',
	),
} as const;

/** Flags of the relay for yargs. */
export const relayFlags = Object.fromEntries(
	Object.entries(numberFlags).map(([name, {defaultValue, describe}]) => [
		name,
		{type: 'number' as const, default: defaultValue, describe},
	]),
);

/**
 * Checks the flags of the relay.
 * @throws ProblemError `invalid-setting`
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
