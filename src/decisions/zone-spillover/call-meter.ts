import type {Clock} from '../../common/index.js';
import type {CallReport} from './types.js';

/** Counts the calls that one VM receives for plain services. */
export type CallMeter = {
	/** Counts a call once, however often it is sent. */
	recordCall(service: string): void;
	/** @param serviceMs - time from the send of a call to its answer, in milliseconds */
	recordAnswer(service: string, serviceMs: number): void;
	/** Calls since the last report; services without a call since then are reported with none. */
	takeReport(): readonly CallReport[];
};

type ServiceCount = {
	calls: number;
	serviceMs: number | undefined;
};

/** Weight of a new answer in the mean time. */
const smoothing = 1 / 16;

/** Creates a meter that has counted nothing. */
export function createCallMeter(clock: Clock): CallMeter {
	const counts = new Map<string, ServiceCount>();
	let reportedMs = clock.nowMs();

	const countOf = (service: string) => {
		const count = counts.get(service) ?? {calls: 0, serviceMs: undefined};
		counts.set(service, count);
		return count;
	};

	return {
		recordCall(service) {
			countOf(service).calls++;
		},
		recordAnswer(service, serviceMs) {
			const count = countOf(service);
			const previousMs = count.serviceMs ?? serviceMs;
			count.serviceMs = previousMs + (serviceMs - previousMs) * smoothing;
		},
		takeReport() {
			const nowMs = clock.nowMs();
			const elapsedS = Math.max(0.001, (nowMs - reportedMs) / 1000);
			reportedMs = nowMs;
			return [...counts].map(([service, count]) => {
				const callsPerSecond = count.calls / elapsedS;
				count.calls = 0;
				return {service, callsPerSecond, serviceMs: count.serviceMs};
			});
		},
	};
}
