import type {Metrics} from '../../adapters/system/index.js';
import {toProblem} from '../../common/index.js';
import type {
	GenerationPlacer,
	PlacedGeneration,
} from '../../decisions/streams/index.js';
import type {TargetsRegistry} from './targets-registry.js';

/**
 * Places generations at the engine with the fewest open ones, at once or not at all.
 * @param metrics - receives a counter of the outcomes
 */
export function createRegistryPlacer(
	registry: TargetsRegistry,
	metrics: Metrics,
): GenerationPlacer {
	// Generations that another VM placed are absent: they were not counted here.
	const targetIds = new Map<string, string>();
	return {
		place(request, callbacks) {
			let placed: PlacedGeneration | undefined;
			try {
				placed = {...registry.placeGeneration(request), priority: 0};
			} catch (error) {
				callbacks.onRefused(toProblem(error));
			}

			if (placed) {
				targetIds.set(placed.generationId, placed.engine.description.id);
				callbacks.onPlaced(placed);
			}

			return {
				dispose() {
					// Nothing waits.
				},
			};
		},
		progressed() {
			// Placement by open generations ignores their lengths.
		},
		ended(generationId, outcome) {
			metrics.count('generations', {outcome});
			const targetId = targetIds.get(generationId);
			if (targetId !== undefined && targetIds.delete(generationId)) {
				registry.released(targetId, outcome);
			}
		},
		adopt(_request, place) {
			return registry.findEngine(place.targetId);
		},
	};
}
