import {createByteAccumulator} from '../../common/index.js';

/** Joins the pieces of a body that arrive in the same task of the event loop. */
export type PieceCollector = {
	push(piece: Uint8Array): void;
	/** Delivers what has been collected. */
	flush(): void;
};

/**
 * Creates a collector that delivers at the end of the current task. A chunked body arrives in a piece for each
 * chunk, and passing on one costs far more than its bytes.
 */
export function createPieceCollector(
	deliver: (bytes: Uint8Array) => void,
): PieceCollector {
	const joined = createByteAccumulator();
	let onlyPiece: Uint8Array | undefined;
	let isScheduled = false;

	const flush = () => {
		const bytes = onlyPiece ?? joined.take();
		onlyPiece = undefined;
		if (bytes.length > 0) {
			deliver(bytes);
		}
	};

	const schedule = () => {
		if (isScheduled) {
			return;
		}

		isScheduled = true;
		queueMicrotask(() => {
			isScheduled = false;
			flush();
		});
	};

	return {
		push(piece) {
			schedule();
			if (onlyPiece) {
				joined.append(onlyPiece);
				onlyPiece = undefined;
				joined.append(piece);
			} else if (joined.lengthBytes > 0) {
				joined.append(piece);
			} else {
				onlyPiece = piece;
			}
		},
		flush,
	};
}
