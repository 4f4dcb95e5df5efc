/** Fault that hits one chunk of an engine. */
export type ChunkFault = 'duplicated' | 'reordered' | 'lost';

/** Damages the positions of a chunk as a fault asks for. */
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
