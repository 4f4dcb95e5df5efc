import type {ConnectionClosedReason} from '../../adapters/front/index.js';
import type {Metrics} from '../../adapters/system/index.js';
import type {Disposable, Timers} from '../../common/index.js';

/** What a port of a VM serves. */
export type PortUse = 'callers' | 'ready' | 'metrics' | 'peers';

export type ClosedConnectionsOptions = {
	readonly timers: Timers;
	readonly logger: {
		warn(message: string, fields: Readonly<Record<string, unknown>>): unknown;
	};
	readonly metrics: Pick<Metrics, 'count'>;
};

/** Counts the connections that were closed or refused for a limit. */
export type ClosedConnections = Disposable & {
	record(port: PortUse, reason: ConnectionClosedReason): void;
};

/** Interval at which a port and reason is logged, in milliseconds, so that a flood costs a line a second. */
const logIntervalMs = 1000;

/** Creates the count of closed connections; each port and reason is logged with its number. */
export function createClosedConnections({
	timers,
	logger,
	metrics,
}: ClosedConnectionsOptions): ClosedConnections {
	const counts = new Map<string, number>();
	let logTimeout: Disposable | undefined;

	const logCounts = () => {
		logTimeout = undefined;
		for (const [key, connections] of counts) {
			const [port, reason] = key.split(' ');
			logger.warn('connections closed', {port, reason, connections});
		}

		counts.clear();
	};

	return {
		record(port, reason) {
			metrics.count('connections_closed', {port, reason});
			const key = `${port} ${reason}`;
			counts.set(key, (counts.get(key) ?? 0) + 1);
			logTimeout ??= timers.after(logIntervalMs, logCounts);
		},
		dispose() {
			logTimeout?.dispose();
			logCounts();
		},
	};
}
