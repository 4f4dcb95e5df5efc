import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	fakeAdmittedRequest,
	fakeSessionServices,
	FakeTargetClient,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {createEngineSearch} from './engine-search.js';
import type {StreamSessionOptions} from './stream-session-types.js';

function start(isAnsweredAtOnce: boolean) {
	const time = new VirtualTime();
	const ignore = () => {
		// What becomes of the wait is seen by what is withdrawn.
	};

	const withdrawn: string[] = [];
	const questions: Array<(isGranted: boolean) => void> = [];
	const services = fakeSessionServices(
		time,
		new FakeTargetClient(),
		ignore,
		(_service, onAnswer) => {
			if (isAnsweredAtOnce) {
				onAnswer(true);
			} else {
				questions.push(onAnswer);
			}

			return {
				dispose() {
					withdrawn.push('question');
				},
			};
		},
	);
	const options: Pick<StreamSessionOptions, 'place' | 'retryShare'> = {
		...services,
		place: () => ({
			dispose() {
				withdrawn.push('placement');
			},
		}),
	};
	const wait = createEngineSearch(
		fakeAdmittedRequest(
			{kind: 'stream', timeoutMs: 39_000, objectiveMs: 1800, maxAttempts: 1},
			{},
		),
		options,
		new Set(),
		{onPlaced: ignore, onRefused: ignore},
	);
	wait.start('engine refused', true);
	return {wait, withdrawn, questions};
}

test('guards against a generation that stays in the queue after its caller has left, when leave to repeat it was given at once', () => {
	const {wait, withdrawn} = start(true);
	wait.dispose();
	assert.deepEqual(withdrawn, ['placement']);
});

test('guards against the same when leave was given later, or not at all', () => {
	const open = start(false);
	open.wait.dispose();
	assert.deepEqual(open.withdrawn, ['question']);
	const placed = start(false);
	placed.questions[0](true);
	placed.wait.dispose();
	assert.deepEqual(placed.withdrawn, ['placement']);
});
