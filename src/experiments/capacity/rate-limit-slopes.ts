import {SeededRandomSource} from '../../common/index.js';
import {
	createMemberList,
	createPermitClient,
	decodeFleetMessage,
	encodeFleetMessage,
	type FleetMessage,
} from '../../decisions/fleet/index.js';
import {createRateLimitTable} from '../../decisions/rate-limits/index.js';
import {measureMicros, SteppedClock} from './measure-micros.js';
import type {Figure} from './types.js';

const targetCounts = [1, 10, 100];
const requestsPerSecond = 4;
/** Virtual time between two messages, in milliseconds. */
const messageGapMs = 1;
/** Late enough for the coordinator to have discovered the other VMs and completed its takeover. */
const startMs = 60_000;
const microsecondsPerMillisecond = 1000;

/** Creates the permits of a coordinator in virtual time. */
function createCoordinator(clock: SteppedClock) {
	const address = '10.1.0.1:7200';
	const members = createMemberList(clock, {
		address,
		availabilityZone: 'zone-1',
		instanceId: 'i1',
		cpuMsPerSecond: 1000,
		storeReadState: 'idle',
	});
	clock.timeMs = startMs;
	return createPermitClient({
		clock,
		timers: {
			after: () => ({
				dispose() {
					// A coordinator decides by itself and waits for no response.
				},
			}),
			async sleep() {
				// Not used.
			},
		},
		random: new SeededRandomSource(1),
		ownAddress: address,
		members,
		coordinatorSinceMs: () => 0,
		send() {
			// A coordinator decides by itself.
		},
		limitOf: () => requestsPerSecond,
	});
}

/** Cost of one permit at the coordinator: the request decoded, decided and the decision encoded. */
function permitFigure(targetCount: number): Figure {
	const clock = new SteppedClock();
	const client = createCoordinator(clock);
	const texts = Array.from({length: targetCount}, (_, index) =>
		encodeFleetMessage({
			kind: 'permit',
			id: '1',
			request: {
				targets: [{targetId: `target-${index}`, requestsPerSecond}],
				maxWaitMs: 90,
				isUrgent: false,
			},
		}),
	);
	let next = 0;
	const value = measureMicros(() => {
		clock.timeMs += messageGapMs;
		const message = decodeFleetMessage(JSON.parse(texts[next % targetCount]));
		next++;
		if (message.kind === 'permit') {
			const decision = client.decideFor(message.request);
			encodeFleetMessage({kind: 'permit-answer', id: message.id, decision});
		}
	});
	return {
		name: `permit decided for one of ${targetCount} targets with a rate limit`,
		value,
		unit: 'µs of processor time',
	};
}

/** Cost and size of the message that tells a VM the limits of targets. */
function announcementFigures(targetCount: number): readonly Figure[] {
	const clock = new SteppedClock();
	const message: FleetMessage = {
		kind: 'rate-limits',
		reports: Array.from({length: targetCount}, (_, index) => ({
			targetId: `i-${String(index).padStart(10, '0')}`,
			requestsPerSecond,
			ageMs: 500,
		})),
	};
	const text = encodeFleetMessage(message);
	const table = createRateLimitTable(clock);
	const value = measureMicros(() => {
		clock.timeMs += messageGapMs;
		const received = decodeFleetMessage(JSON.parse(text));
		for (const report of received.kind === 'rate-limits'
			? received.reports
			: []) {
			table.recordReport(report);
		}
	});
	return [
		{
			name: `message with ${targetCount} rate limits, received`,
			value: value / microsecondsPerMillisecond,
			unit: 'ms of processor time',
		},
		{
			name: `message with ${targetCount} rate limits`,
			value: text.length,
			unit: 'bytes',
		},
	];
}

/** Measures what rate limits of targets cost the VMs. */
export function rateLimitFigures(): readonly Figure[] {
	return targetCounts.flatMap((targetCount) => [
		permitFigure(targetCount),
		...announcementFigures(targetCount),
	]);
}
