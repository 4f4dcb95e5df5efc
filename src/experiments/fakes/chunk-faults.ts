/** Fault in the delivery of one chunk of an engine's stream. */
export type ChunkFault = 'duplicated' | 'reordered' | 'lost';

/** Returns the token positions of a chunk after a fault was applied to them. */
export function applyChunkFault(
	positions: readonly number[],
	fault: ChunkFault | undefined,
): readonly number[] {
	switch (fault) {
		case 'duplicated': {
			return [...positions, ...positions];
		}

		case 'reordered': {
			return [...positions].reverse();
		}

		case 'lost': {
			return [];
		}

		case undefined: {
			return positions;
		}
	}
}
