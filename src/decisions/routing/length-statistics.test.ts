import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLengthStatistics} from './length-statistics.js';

// A new account has no samples; its forecast has to use those of its class instead of the prior.
test('falls back to the class while an account has few samples', () => {
	const statistics = createLengthStatistics();
	for (let index = 0; index < 300; index++) {
		statistics.record('known', 'report', 'm', 1000);
	}

	const remaining = statistics
		.distribution('new', 'report', 'm')
		.expectedRemaining(0, 50_000);
	assert.equal(remaining > 700 && remaining < 1600, true, String(remaining));
});

// Ignoring the output so far would underestimate long streams and exceed the limit of the request.
test('expects more output of a stream that is already longer than most', () => {
	const statistics = createLengthStatistics();
	for (let index = 0; index < 300; index++) {
		statistics.record('a', 'c', 'm', index % 10 === 0 ? 8000 : 40);
	}

	const distribution = statistics.distribution('a', 'c', 'm');
	assert.equal(distribution.expectedRemaining(0, 50_000) < 2000, true);
	assert.equal(distribution.expectedRemaining(100, 50_000) > 5000, true);
	assert.equal(distribution.expectedRemaining(100, 150) <= 50, true);
});

// Old samples must not dominate the forecast for hundreds of samples after a change of lengths.
test('adapts to a sudden change of lengths within a few dozen samples', () => {
	const statistics = createLengthStatistics();
	for (let index = 0; index < 2000; index++) {
		statistics.record('a', 'c', 'm', 90 + (index % 20));
	}

	for (let index = 0; index < 40; index++) {
		statistics.record('a', 'c', 'm', 1800 + (index % 400));
	}

	const remaining = statistics
		.distribution('a', 'c', 'm')
		.expectedRemaining(0, 50_000);
	assert.equal(remaining > 1200, true, String(remaining));
});

// Without a snapshot, a restarted VM would forecast from the prior; malformed rows must not break it.
test('restores a snapshot and ignores malformed rows', () => {
	const statistics = createLengthStatistics();
	for (let index = 0; index < 100; index++) {
		statistics.record('a', 'c', 'm', 500);
	}

	const restored = createLengthStatistics();
	restored.restore(statistics.snapshot());
	const expected = restored.distribution('a', 'c', 'm').survival(400);
	assert.equal(
		Math.abs(expected - statistics.distribution('a', 'c', 'm').survival(400)) <
			0.01,
		true,
	);
	restored.restore('{"format":1,"rows":[["k",1,["x"]],3]}');
	restored.restore('null');
	assert.equal(restored.entryCount, 3);
});
