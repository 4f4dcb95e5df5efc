import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createStreamSequencer} from './stream-sequencer.js';

// A reopened connection may repeat or skip tokens; callers must not receive them twice or out of order.
test('delivers each position once and in order', () => {
	const sequencer = createStreamSequencer();
	const verdicts = [0, 1, 1, 0, 3, 2, 3].map((position) =>
		sequencer.accept(position),
	);
	assert.deepEqual(verdicts, [
		'deliver',
		'deliver',
		'duplicate',
		'duplicate',
		'gap',
		'deliver',
		'deliver',
	]);
});

// A response whose connection ended before the last token must not count as complete.
test('distinguishes an end with missing tokens from a complete response', () => {
	const sequencer = createStreamSequencer(2);
	assert.equal(sequencer.finish(3), 'gap');
	sequencer.accept(2);
	assert.equal(sequencer.finish(3), 'complete');
	assert.throws(() => sequencer.finish(1), {type: 'target-protocol'});
});
