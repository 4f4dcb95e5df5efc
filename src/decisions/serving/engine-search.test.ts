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

function start(isGrantedAtOnce: boolean) {
	const time = new VirtualTime();
	const ignore = () => {
		// The tests check only which requests are withdrawn.
	};

	const withdrawn: string[] = [];
	const retryRequests: Array<(isGranted: boolean) => void> = [];
	const services = fakeSessionServices(
		time,
		new FakeTargetClient(),
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
	const options: Pick<
		StreamSessionOptions,
		'closedRefusal' | 'place' | 'retryShare'
	> = {
		...services,
		closedRefusal: () => undefined,
		place: () => ({
			dispose() {
				withdrawn.push('placement');
			},
		}),
	};
	const search = createEngineSearch(
		fakeAdmittedRequest(
			{kind: 'stream', timeoutMs: 39_000, objectiveMs: 1800, maxAttempts: 1},
			{},
		),
		options,
		new Set(),
		{onPlaced: ignore, onRefused: ignore},
	);
	search.start('engine refused', true);
	return {search, withdrawn, retryRequests};
}

test('a generation does not stay queued after its caller disconnected when its retry was granted at once', () => {
	const {search, withdrawn} = start(true);
	search.dispose();
	assert.deepEqual(withdrawn, ['placement']);
});

test('a generation does not stay queued after its caller disconnected when its retry was granted later or not yet', () => {
	const open = start(false);
	open.search.dispose();
	assert.deepEqual(open.withdrawn, ['question']);
	const placed = start(false);
	placed.retryRequests[0](true);
	placed.search.dispose();
	assert.deepEqual(placed.withdrawn, ['placement']);
});
