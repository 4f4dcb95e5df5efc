import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createExplainLog} from './explain-log.js';

const record = (atWallMs: number, subject: string) => ({
	atWallMs,
	kind: 'order',
	subject,
	cause: 'demand',
	result: 'sent',
});

test('the log overwrites its oldest records and truncates texts, so that its memory stays bounded', () => {
	const log = createExplainLog({maxRecords: 3});
	for (let index = 0; index < 8; index++) {
		log.add(record(index * 30_000, index % 2 === 0 ? 'even' : 'odd'));
	}

	assert.equal(log.size, 3);
	assert.deepEqual(
		log.bySubject('odd').map((one) => one.atWallMs),
		[150_000, 210_000],
	);
	assert.deepEqual(
		log.byMinute(3).map((one) => one.subject),
		['even', 'odd'],
	);
	log.add({...record(0, 'long'), cause: 'x'.repeat(10_000)});
	assert.equal(log.bySubject('long')[0].cause.length, 200);
});
