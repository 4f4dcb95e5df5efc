import {
	createHeldBytes,
	createRetryShare,
	type DecisionLog,
	type SessionServices,
} from '../../decisions/serving/index.js';
import type {FakeTargetLink} from './fake-target-link.js';
import type {VirtualTime} from './virtual-time.js';

/** Services of a session on a VM that is alone, keeps no health and has no directory. */
export function fakeSessionServices(
	time: VirtualTime,
	link: FakeTargetLink,
	log: DecisionLog,
): SessionServices {
	const ignore = () => {
		// Neither health nor a directory is kept.
	};

	return {
		clock: time,
		timers: time,
		link,
		retryShare: createRetryShare({
			clock: time,
			bounds: () => ({ratio: 0.2, extra: 50, windowMs: 10_000}),
			vmCount: () => 1,
		}),
		answerBounds: {
			maxAnswerBytes: 10_000,
			maxEventBytes: 1000,
			maxStreamBytes: 100_000,
		},
		held: createHeldBytes({admitBytes: 100_000, totalBytes: 200_000}),
		log,
		ended: ignore,
		unreachable: ignore,
		misdirected: ignore,
	};
}
