import type {LogLevel} from '../../adapters/system/index.js';
import type {BookingLimits} from '../../decisions/bookings/index.js';
import {ProblemError} from '../../common/index.js';
import {checkInteger, createCommandLine, parsePairs} from '../command-line.js';
import {
	readRelaySettings,
	relayFlags,
	type RelaySettings,
} from './relay-settings.js';
import {bookingFlags, readBookingLimits} from './booking-settings.js';

/** Settings of the entry daemon. */
export type EntrySettings = {
	readonly name: string;
	/** Instance id of this VM in the platform's VM list; a replaced VM has a new one. */
	readonly vmInstanceId: string;
	readonly listenAddress: string;
	/** Address under which peers reach this VM. */
	readonly advertiseAddress: string;
	readonly listenPort: number;
	readonly peerPort: number;
	readonly availabilityZone: string;
	readonly region: string;
	readonly platformUrl: string;
	readonly accountTokens: ReadonlyMap<string, string>;
	readonly peerToken: string;
	readonly operatorToken: string;
	readonly streamKey: string;
	readonly maxBodyBytes: number;
	readonly maxHeaderBytes: number;
	readonly tableTimeoutMs: number;
	readonly pollIntervalMs: number;
	readonly configurationMaxPages: number;
	readonly callTimeoutMs: number;
	readonly bookingRetentionMs: number;
	readonly bookingLimits: BookingLimits;
	/** Bound on the table reads of the settlement of old booking records. */
	readonly bookingSettleReadsPerMinute: number;
	/** Age from which a booking record without outcome is settled, in milliseconds. */
	readonly bookingSettleAfterMs: number;
	readonly logLevel: LogLevel;
	readonly relay: RelaySettings;
};

const maxPort = 65_535;
const dayMs = 86_400_000;

const wildcardAddresses = new Set(['0.0.0.0', '::', '']);

function checkAdvertiseAddress(address: string): string {
	if (wildcardAddresses.has(address)) {
		throw new ProblemError(
			'invalid-setting',
			'--advertise-address allows: an address that peers can reach; it is needed with a wildcard --listen-address',
			{field: 'advertise-address'},
		);
	}

	return address;
}

/**
 * Reads flags and environment variables.
 * @throws ProblemError `invalid-setting`
 */
export async function readEntrySettings(): Promise<EntrySettings> {
	const flags = await createCommandLine('cowslip-entry')
		.usage('$0: serves callers on one entry VM')
		.options({
			name: {
				type: 'string',
				demandOption: true,
				describe: 'name of this entry VM',
			},
			'vm-instance-id': {
				type: 'string',
				describe: 'instance id of this VM in the VM list; the name if absent',
			},
			'listen-address': {
				type: 'string',
				default: '127.0.0.1',
				describe: 'address to listen on',
			},
			'advertise-address': {
				type: 'string',
				describe:
					'address under which peers reach this VM; the listen address if absent',
			},
			'booking-settle-reads-per-minute': {
				type: 'number',
				default: 6,
				describe: 'most table reads a minute for settling old booking records',
			},
			'booking-settle-after-ms': {
				type: 'number',
				default: 60_000,
				describe:
					'age from which a booking record without outcome is settled, in ms',
			},
			'listen-port': {
				type: 'number',
				demandOption: true,
				describe: 'port for callers',
			},
			'peer-port': {
				type: 'number',
				demandOption: true,
				describe: 'port for peers and operators',
			},
			'availability-zone': {
				type: 'string',
				demandOption: true,
				describe: 'availability zone of this VM',
			},
			region: {
				type: 'string',
				demandOption: true,
				describe: 'region of this VM',
			},
			'platform-url': {
				type: 'string',
				demandOption: true,
				describe: 'base URL of the platform',
			},
			'account-tokens': {
				type: 'string',
				demandOption: true,
				describe: 'ACCOUNT=TOKEN,... of the client accounts',
			},
			'peer-token': {
				type: 'string',
				demandOption: true,
				describe: 'token that peers present',
			},
			'operator-token': {
				type: 'string',
				demandOption: true,
				describe: 'token that operators present',
			},
			'stream-key': {
				type: 'string',
				demandOption: true,
				describe: 'secret under which all entry VMs sign stream tokens',
			},
			'max-body-bytes': {
				type: 'number',
				default: 1_048_576,
				describe: 'largest request body, in bytes',
			},
			'max-header-bytes': {
				type: 'number',
				default: 16_384,
				describe: 'largest request header, in bytes',
			},
			'table-timeout-ms': {
				type: 'number',
				default: 2000,
				describe: 'time until a table call fails, in ms',
			},
			'poll-interval-ms': {
				type: 'number',
				default: 2000,
				describe: 'time between reads of the configuration, in ms',
			},
			'configuration-max-pages': {
				type: 'number',
				default: 20,
				describe: 'most pages of configuration changes read in one poll',
			},
			'call-timeout-ms': {
				type: 'number',
				default: 10_000,
				describe: 'time until a service call fails, in ms',
			},
			'booking-retention-ms': {
				type: 'number',
				default: 7 * dayMs,
				describe: 'how long booking records are kept, in ms',
			},
			...bookingFlags,
			'log-level': {
				choices: ['error', 'warn', 'info', 'debug'] as const,
				default: 'info' as const,
				describe: 'lowest level that is logged',
			},
			...relayFlags,
		})
		.parseAsync();
	return {
		name: flags.name,
		vmInstanceId: flags['vm-instance-id'] ?? flags.name,
		listenAddress: flags['listen-address'],
		advertiseAddress: checkAdvertiseAddress(
			flags['advertise-address'] ?? flags['listen-address'],
		),
		listenPort: checkInteger('listen-port', flags['listen-port'], 0, maxPort),
		peerPort: checkInteger('peer-port', flags['peer-port'], 0, maxPort),
		availabilityZone: flags['availability-zone'],
		region: flags.region,
		platformUrl: flags['platform-url'],
		accountTokens: parsePairs('account-tokens', flags['account-tokens']),
		peerToken: flags['peer-token'],
		operatorToken: flags['operator-token'],
		streamKey: flags['stream-key'],
		maxBodyBytes: checkInteger(
			'max-body-bytes',
			flags['max-body-bytes'],
			1024,
			67_108_864,
		),
		maxHeaderBytes: checkInteger(
			'max-header-bytes',
			flags['max-header-bytes'],
			1024,
			1_048_576,
		),
		tableTimeoutMs: checkInteger(
			'table-timeout-ms',
			flags['table-timeout-ms'],
			10,
			60_000,
		),
		pollIntervalMs: checkInteger(
			'poll-interval-ms',
			flags['poll-interval-ms'],
			50,
			60_000,
		),
		configurationMaxPages: checkInteger(
			'configuration-max-pages',
			flags['configuration-max-pages'],
			1,
			1000,
		),
		callTimeoutMs: checkInteger(
			'call-timeout-ms',
			flags['call-timeout-ms'],
			10,
			600_000,
		),
		bookingRetentionMs: checkInteger(
			'booking-retention-ms',
			flags['booking-retention-ms'],
			60_000,
			365 * dayMs,
		),
		bookingLimits: readBookingLimits(flags),
		bookingSettleReadsPerMinute: checkInteger(
			'booking-settle-reads-per-minute',
			flags['booking-settle-reads-per-minute'],
			1,
			6000,
		),
		bookingSettleAfterMs: checkInteger(
			'booking-settle-after-ms',
			flags['booking-settle-after-ms'],
			1000,
			dayMs,
		),
		logLevel: flags['log-level'],
		relay: readRelaySettings(flags),
	};
}
