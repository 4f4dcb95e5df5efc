import {SeededRandomSource} from '../../common/index.js';
import {
	createGenerationScheduler,
	createRunBook,
	type EngineEntry,
	type PlaceAnswer,
	type PlaceDemand,
} from '../../decisions/scheduling/index.js';
import {VirtualTime} from './virtual-time.js';

/** An engine with memory for some reports. */
export const fakeEngine = (
	targetId: string,
	changes: Partial<EngineEntry> = {},
): EngineEntry => ({
	targetId,
	availabilityZone: 'zone-1',
	slotCount: 24,
	capacityTokens: 20_000,
	isSuspect: false,
	...changes,
});

/** A long generation. */
export const fakeReport = (
	id: string,
	changes: Partial<PlaceDemand> = {},
): PlaceDemand => ({
	id,
	service: 'model',
	purpose: 'run',
	promptTokens: 3000,
	expectedTokens: 700,
	doneTokens: 0,
	nearZone: 'zone-1',
	avoid: [],
	elapsedMs: 0,
	waitedMs: 0,
	objectiveMs: 5000,
	leftMs: 39_000,
	priority: 0,
	...changes,
});

/** Starts a scheduler whose engines, runs and time a test plays. */
export function startFakeScheduler(engines: EngineEntry[]) {
	const time = new VirtualTime();
	const book = createRunBook(time);
	const answers: Array<{id: string; answer: PlaceAnswer}> = [];
	const scheduler = createGenerationScheduler({
		clock: time,
		random: new SeededRandomSource(5),
		book,
		engines: () => engines,
		onAnswer(_vm, {id}, answer) {
			answers.push({id, answer});
		},
	});

	/** Lets time pass while all VMs go on to tell of their runs. */
	const pass = async (untilMs: number, ended: readonly string[] = []) => {
		for (const id of ended) {
			book.remove('vm-1', id);
		}

		for (let atMs = time.nowMs(); atMs < untilMs;) {
			atMs = Math.min(untilMs, atMs + 25);
			await time.runUntil(atMs);
			scheduler.tick();
		}
	};

	/** Places a demand and has its VM tell of the run. */
	const place = (demand: PlaceDemand): PlaceAnswer => {
		const answer = scheduler.place('vm-1', demand);
		if (answer.outcome === 'placed') {
			book.set('vm-1', {
				id: demand.id,
				targetId: answer.placement.targetId,
				copyTargetId: answer.placement.copyTargetId,
				promptTokens: demand.promptTokens,
				doneTokens: 0,
				remainingTokens: demand.expectedTokens,
				priority: 0,
			});
		}

		return answer;
	};

	return {time, book, scheduler, answers, place, pass};
}
