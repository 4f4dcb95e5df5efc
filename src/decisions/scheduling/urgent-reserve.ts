import type {EngineCandidate} from './engine-placement.js';
import {neededTokens} from './generation-queue.js';
import {peaksOf} from './memory-forecast.js';
import type {PlacementRequest} from './types.js';
import type {UrgentDemand} from './urgent-demand.js';

/** Engines on which a generation may be started, and what is kept free for more urgent ones. */
export type UrgentReserve = {
	/** Engines with room for the generation beside the more urgent ones that are expected. */
	readonly engines: readonly EngineCandidate[];
	/** Memory kept free for more urgent generations, in tokens. */
	readonly keptTokens: number;
};

/** Number of generations of a size that an engine has room for, if `tokens` more of its memory are in use. */
const roomFor = (
	{capacityTokens, usage, slotCount}: EngineCandidate,
	{tokensEach}: UrgentDemand,
	tokens: number,
) =>
	Math.max(
		0,
		Math.min(
			slotCount - usage.runCount - (tokens > 0 ? 1 : 0),
			Math.floor(
				(capacityTokens - peaksOf(usage).shortTermPeak - tokens) / tokensEach,
			),
		),
	);

/**
 * Excludes the engines on which a generation would take memory that more urgent ones are expected to need. The
 * demand is counted in whole generations, since memory that is scattered over engines is of no use to them.
 * @param demand - demand of the more urgent generations, with those that run now
 */
export function keepUrgentReserve(
	engines: readonly EngineCandidate[],
	request: PlacementRequest,
	demand: UrgentDemand,
): UrgentReserve {
	let running = 0;
	for (const {usage} of engines) {
		for (const priority of usage.runPriorities) {
			running += priority < request.priority ? 1 : 0;
		}
	}

	const count = Math.max(0, demand.count - running);
	if (count === 0) {
		return {engines, keptTokens: 0};
	}

	const tokens = neededTokens(request);
	const rooms = engines.map((engine) => roomFor(engine, demand, 0));
	const total = rooms.reduce((sum, room) => sum + room, 0);
	return {
		engines: engines.filter((engine, index) => {
			const left = total - rooms[index] + roomFor(engine, demand, tokens);
			return left >= count;
		}),
		keptTokens: count * demand.tokensEach,
	};
}
