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
 * Creates the dependencies of a session on the only VM of a fleet, without health tracking and
 * target directory.
 * @param askPool - retry pool of the fleet; if given, the VM has no extra retries of its own, so that a
 * test with few requests gets each retry from the pool. By default the VM has 50 extra retries and the
 * pool denies all requests.
 */
export function fakeSessionServices(
	time: VirtualTime,
	targetClient: FakeTargetClient,
	log: DecisionLog,
	askPool: RetryShareOptions['askPool'] | undefined = undefined,
): SessionServices {
	const ignore = () => {
		// Health and directory are not part of these tests.
	};

	return {
		clock: time,
		timers: time,
		targetClient,
		retryShare: createRetryShare({
			clock: time,
			bounds: () => ({
				ratio: 0.2,
				extra: askPool ? 0 : 50,
				windowMs: 10_000,
			}),
			vmCount: () => 1,
			askPool:
				askPool ??
				((_service, onDecision) => {
					onDecision(false);
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
		onResponseHead: ignore,
		mayUse: () => true,
		restrictedTargets: () => undefined,
		onDefectiveResponse: ignore,
		onUnreachable: ignore,
		onMisdirected: ignore,
	};
}

/** Open call whose outcome nobody records. */
export const fakeTrackedCall = () => ({
	recordOutcome() {
		// The evidence of the fleet is not part of these tests.
	},
	dispose() {
		// Open calls are not counted in these tests.
	},
});
