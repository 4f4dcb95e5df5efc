import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	fakeAdmitted,
	fakeSessionServices,
	FakeTargetLink,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {createEngineWait} from './engine-wait.js';
import type {StreamSessionOptions} from './stream-session-types.js';

function start(isGrantedAtOnce: boolean) {
	const time = new VirtualTime();
	const ignore = () => {
		// The tests check only which requests are withdrawn.
	};

	const withdrawn: string[] = [];
	const retryRequests: Array<(isGranted: boolean) => void> = [];
	const services = fakeSessionServices(
		time,
		new FakeTargetLink(),
		ignore,
		(_service, onDecision) => {
			if (isGrantedAtOnce) {
				onDecision(true);
			} else {
				retryRequests.push(onDecision);
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
	const wait = createEngineWait(
		fakeAdmitted(
			{kind: 'stream', timeoutMs: 39_000, objectiveMs: 1800, maxAttempts: 1},
			{},
		),
		options,
		new Set(),
		{onPlaced: ignore, onRefused: ignore},
	);
	wait.start('engine refused', true);
	return {wait, withdrawn, retryRequests};
}

test('disposing withdraws the placement request after a retry that was granted at once', () => {
	const {wait, withdrawn} = start(true);
	wait.dispose();
	assert.deepEqual(withdrawn, ['placement']);
});

test('disposing withdraws the pending retry request, or the placement request after a later grant', () => {
	const open = start(false);
	open.wait.dispose();
	assert.deepEqual(open.withdrawn, ['question']);
	const placed = start(false);
	placed.retryRequests[0](true);
	placed.wait.dispose();
	assert.deepEqual(placed.withdrawn, ['placement']);
});
