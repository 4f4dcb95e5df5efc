import type {EraScenario} from './era-scenarios.js';
import {EraWorld} from './era-world.js';

/** What an exploration has found. */
export type EraExploration = {
	/** Number of distinct states visited. */
	readonly stateCount: number;
	/** Number of times that a run was continued to the end, with all messages on their way lost. */
	readonly endCount: number;
	/** The first broken rule with the steps that led to it; undefined if there is none. */
	readonly violation: string | undefined;
};

/**
 * Explores every order in which the store executes reads and returns them, messages between two VMs arrive,
 * and the store is written, returns from a copy that lacks the last write, and is written again. A state is
 * reached by taking its steps in a new world, since the parts under test cannot be copied.
 */
export async function exploreEras(
	scenario: EraScenario,
): Promise<EraExploration> {
	const visited = new Set<string>();
	const ended = new Set<string>();
	const pending: string[][] = [[]];
	const found: {violation?: string} = {};

	const fail = (world: EraWorld, steps: readonly string[]) => {
		if (world.violations.length > 0) {
			found.violation = `${world.violations[0]} after ${steps.join(', ')}`;
		}
	};

	/** Continues a run until a state that is known, and leaves its other branches for later. */
	const run = async (prefix: readonly string[]) => {
		const world = await EraWorld.start(scenario);
		const steps = [...prefix];
		for (const step of prefix) {
			await world.take(step);
		}

		for (;;) {
			fail(world, steps);
			const key = world.key();
			if (found.violation !== undefined || visited.has(key)) {
				break;
			}

			visited.add(key);
			const [next, ...others] = world.steps();
			pending.push(...others.map((step) => [...steps, step]));
			if (next === undefined) {
				break;
			}

			const endKey = world.endKey();
			if (world.isStoreDone && !ended.has(endKey)) {
				ended.add(endKey);
				pending.push([...steps, 'finish']);
			}

			steps.push(next);
			await world.take(next);
		}

		world.dispose();
	};

	const runToEnd = async (steps: readonly string[]) => {
		const world = await EraWorld.start(scenario);
		for (const step of steps) {
			await world.take(step);
		}

		await world.finish();
		fail(world, [...steps, 'finish']);
		world.dispose();
	};

	for (let steps = pending.pop(); steps; steps = pending.pop()) {
		await (steps.at(-1) === 'finish'
			? runToEnd(steps.slice(0, -1))
			: run(steps));
		if (found.violation !== undefined) {
			break;
		}
	}

	return {
		stateCount: visited.size,
		endCount: ended.size,
		violation: found.violation,
	};
}
