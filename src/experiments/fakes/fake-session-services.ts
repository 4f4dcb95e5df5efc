import {
	createBufferBudget,
	createRetryShare,
	type DecisionLog,
	type RetryShareOptions,
	type SessionServices,
} from '../../decisions/serving/index.js';
import type {FakeTargetClient} from './fake-target-client.js';
import type {VirtualTime} from './virtual-time.js';

/**
 * Services of a session on a VM that is alone, keeps no health and has no directory.
 * @param askPool - answers where the VM's own retry budget is used up
 */
export function fakeSessionServices(
	time: VirtualTime,
	targetClient: FakeTargetClient,
	log: DecisionLog,
	askPool: RetryShareOptions['askPool'] | undefined = undefined,
): SessionServices {
	const ignore = () => {
		// Neither health nor a directory is kept.
	};

	return {
		clock: time,
		timers: time,
		targetClient,
		retryShare: createRetryShare({
			clock: time,
			// Where a test plays the pool, this VM has nothing itself.
			bounds: () => ({
				ratio: 0.2,
				extra: askPool ? 0 : 50,
				windowMs: 10_000,
			}),
			vmCount: () => 1,
			askPool:
				askPool ??
				((_service, onAnswer) => {
					onAnswer(false);
					return {dispose: ignore};
				}),
		}),
		responseLimits: {
			maxResponseBytes: 10_000,
			maxEventBytes: 1000,
			maxStreamBytes: 100_000,
		},
		bufferBudget: createBufferBudget({
			admissionLimitBytes: 100_000,
			hardLimitBytes: 200_000,
		}),
		log,
		onSendResult: ignore,
		onUnreachable: ignore,
		onMisdirected: ignore,
	};
}
