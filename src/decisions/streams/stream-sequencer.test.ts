import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createStreamSequencer} from './stream-sequencer.js';

// Guards against tokens that reach a caller twice or out of order after a link was opened again.
test('passes each position on once and in order', () => {
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

// Guards against an answer that ends early being taken for a whole one.
test('tells an end with missing tokens from a complete one', () => {
	const sequencer = createStreamSequencer(2);
	assert.equal(sequencer.finish(3), 'gap');
	sequencer.accept(2);
	assert.equal(sequencer.finish(3), 'complete');
	assert.throws(() => sequencer.finish(1), {type: 'target-protocol'});
});
