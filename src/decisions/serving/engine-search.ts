import type {Disposable} from '../../common/index.js';
import type {AdmittedRequest} from './session-types.js';
import type {
	StreamPlacement,
	StreamSessionOptions,
} from './stream-session-types.js';

/** Receives the outcome of a wait for an engine. */
export type EngineSearchListener = {
	onPlaced(placement: StreamPlacement, reason: string): void;
	/**
	 * No engine will have the generation.
	 * @param retryAfterMs - time after which one may, in milliseconds
	 */
	onRefused(reason: string, retryAfterMs?: number): void;
};

/** A generation that looks for an engine. */
export type EngineSearch = Disposable & {
	/**
	 * Places the generation, now or once an engine has room.
	 * @param isRepeat - true if an engine has refused it, so that the retry budget is charged
	 */
	start(reason: string, isRepeat: boolean): void;
};

/**
 * Creates a wait that has not started.
 * @param avoid - engines that have failed the generation
 */
export function createEngineSearch(
	admitted: AdmittedRequest,
	options: Pick<StreamSessionOptions, 'place' | 'retryShare'>,
	avoid: ReadonlySet<string>,
	listener: EngineSearchListener,
): EngineSearch {
	let asking: Disposable | undefined;

	const place = (reason: string) => {
		asking = options.place(admitted, avoid, {
			onPlaced(placement) {
				listener.onPlaced(placement, reason);
			},
			onRefused(refusal, retryAfterMs) {
				listener.onRefused(refusal, retryAfterMs);
			},
		});
	};

	return {
		start(reason, isRepeat) {
			if (!isRepeat) {
				place(reason);
				return;
			}

			let isAnswered = false;
			const taking = options.retryShare.take(admitted.service, (isGranted) => {
				isAnswered = true;
				if (isGranted) {
					place(reason);
				} else {
					listener.onRefused('the retry budget is used up');
				}
			});
			if (!isAnswered) {
				asking = taking;
			}
		},
		dispose() {
			asking?.dispose();
		},
	};
}
