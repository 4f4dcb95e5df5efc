import type {Disposable} from '../../common/index.js';
import {decideWait, waitInputsOf} from './generation-wait.js';
import type {AdmittedRequest} from './session-types.js';
import type {
	StreamPlacement,
	StreamSessionOptions,
} from './stream-session-types.js';

/** Receives the outcome of a wait for an engine. */
export type EngineWaitListener = {
	onPlaced(placement: StreamPlacement, reason: string): void;
	/** No engine will have the generation. */
	onGivenUp(reason: string): void;
};

/** A generation that looks for an engine. */
export type EngineWait = Disposable & {
	/**
	 * Places the generation, now or once an engine has room.
	 * @param isRepeat - true if an engine has refused it, so that the retry budget is charged
	 */
	start(reason: string, isRepeat: boolean): void;
};

/** Interval at which a waiting generation asks again for an engine, in milliseconds. */
const waitStepMs = 30;

/**
 * Creates a wait that has not started.
 * @param avoid - engines that have failed the generation
 */
export function createEngineWait(
	admitted: AdmittedRequest,
	options: StreamSessionOptions,
	avoid: ReadonlySet<string>,
	listener: EngineWaitListener,
): EngineWait {
	const {clock, timers, retryShare} = options;
	let waiting: Disposable | undefined;

	const start = (reason: string, isRepeat: boolean) => {
		const placement = options.place(admitted, avoid);
		if (!placement) {
			listener.onGivenUp('no engine of the service is usable');
			return;
		}

		const inputs = waitInputsOf(admitted, placement, clock.nowMs());
		const decision = decideWait(inputs);
		if (decision === 'refuse') {
			listener.onGivenUp('the prompt is larger than the memory of an engine');
		} else if (decision === 'wait') {
			waiting = timers.after(waitStepMs, () => {
				start(reason, isRepeat);
			});
		} else if (isRepeat && !retryShare.tryTake(admitted.service)) {
			listener.onGivenUp('the retry budget is used up');
		} else {
			listener.onPlaced(placement, reason);
		}
	};

	return {
		start,
		dispose() {
			waiting?.dispose();
		},
	};
}
