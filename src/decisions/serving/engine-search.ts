import type {Disposable} from '../../common/index.js';
import type {AdmittedRequest} from './session-types.js';
import type {
	StreamPlacement,
	StreamSessionOptions,
} from './stream-session-types.js';

/** Receives the outcome of a search for an engine. */
export type EngineSearchListener = {
	/** @param sendReason - why the generation is sent, for the log */
	onPlaced(placement: StreamPlacement, sendReason: string): void;
	/**
	 * Called when no engine accepts the generation, or no retry is left.
	 * @param retryAfterMs - time after which an engine may have room, in milliseconds
	 */
	onRefused(refusal: string, retryAfterMs?: number): void;
};

/** Search of one generation for an engine. */
export type EngineSearch = Disposable & {
	/**
	 * Places the generation at once or as soon as an engine has room; not once the search is disposed.
	 * @param sendReason - why the generation is sent, for the log
	 * @param isRetry - true if an engine has refused the generation, so that the retry budget is charged
	 */
	start(sendReason: string, isRetry: boolean): void;
};

/**
 * Creates a search that has not started.
 * @param avoid - ids of engines that have refused or lost the generation
 */
export function createEngineSearch(
	admitted: AdmittedRequest,
	options: Pick<StreamSessionOptions, 'closedRefusal' | 'place' | 'retryShare'>,
	avoid: ReadonlySet<string>,
	listener: EngineSearchListener,
): EngineSearch {
	let pending: Disposable | undefined;
	let isDisposed = false;

	const place = (sendReason: string) => {
		pending = options.place(admitted, avoid, {
			onPlaced(placement) {
				listener.onPlaced(placement, sendReason);
			},
			onRefused(refusal, retryAfterMs) {
				listener.onRefused(refusal, retryAfterMs);
			},
		});
	};

	return {
		start(sendReason, isRetry) {
			if (isDisposed) {
				return;
			}

			const closed = options.closedRefusal(admitted.service);
			if (closed) {
				listener.onRefused(closed.reason, closed.retryAfterMs);
				return;
			}

			if (!isRetry) {
				place(sendReason);
				return;
			}

			let isDecided = false;
			const retryRequest = options.retryShare.take(
				admitted.service,
				(isGranted) => {
					isDecided = true;
					if (isGranted) {
						place(sendReason);
					} else {
						listener.onRefused('the retry budget is used up');
					}
				},
			);
			if (!isDecided) {
				pending = retryRequest;
			}
		},
		dispose() {
			isDisposed = true;
			pending?.dispose();
		},
	};
}
