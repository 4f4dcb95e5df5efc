import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	fakeEngineEntry as engine,
	fakePlacementRequest as longRequest,
	startTestScheduler as start,
	targetOfDecision as targetOf,
} from '../../experiments/fakes/index.js';

test('places light traffic of two urgencies on the same engines as before memory was kept for the more urgent', async () => {
	const {place, advanceTo} = start(
		Array.from({length: 8}, (_, index) =>
			engine(`e${index}`, {capacityTokens: 26_830}),
		),
	);
	const targetIds: string[] = [];
	for (let index = 0; index < 24; index++) {
		const endedIds = index >= 10 ? [`q${index - 10}`] : [];
		await advanceTo(index * 100, endedIds);
		const isLong = index % 3 === 0;
		const request = longRequest(`q${index}`, {
			promptTokens: isLong ? 3079 : 2550,
			expectedTokens: isLong ? 748 : 8,
			objectiveMs: isLong ? 4000 : 1500,
			priority: isLong ? 2 : 0,
		});
		targetIds.push(targetOf(place(request)));
	}

	assert.equal(
		targetIds.join(' '),
		'e0 e1 e3 e7 e4 e5 e6 e2 e5 e1 e0 e4 e3 e7 e0 e2 e6 e6 e5 e1 e0 e4 e3 e7',
	);
});
