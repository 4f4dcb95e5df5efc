import type {ServiceResponse} from '../../common/index.js';
import {parseStoredAnswer} from './booking-record.js';
import type {BookingOptions, BookingRecord} from './types.js';

const maxBytesPerUnit = 3;

/** Answers of records: in the row, or in the object store if they are too large. */
export type BookingAnswers = {
	/**
	 * The `done` record of an answer. Writes a large answer to the object store first.
	 * @throws ProblemError `object-store-unavailable`
	 */
	createDoneRecord(
		started: BookingRecord,
		answer: ServiceResponse,
	): Promise<BookingRecord>;
	/**
	 * The answer of a `done` record.
	 * @throws ProblemError `object-store-unavailable` or `table-corrupt-row`
	 */
	load(record: BookingRecord): Promise<ServiceResponse>;
};

/** Creates the access to answers. */
export function createBookingAnswers(options: BookingOptions): BookingAnswers {
	const {objects, limits} = options;
	const encoder = new TextEncoder();
	const fitsRow = (text: string) =>
		text.length * maxBytesPerUnit <= limits.maxRowAnswerBytes ||
		encoder.encode(text).length <= limits.maxRowAnswerBytes;

	return {
		async createDoneRecord(started, answer) {
			const text = JSON.stringify(answer);
			if (fitsRow(text)) {
				return {...started, state: 'done', answer};
			}

			// Each writer has an object of its own, so that the one that the record names never changes.
			const answerObject = `booking-answer/${started.attemptId}/${options.incarnation}`;
			await objects.put(answerObject, text);
			options.count('answer-object');
			return {...started, state: 'done', answerObject};
		},
		async load(record) {
			if (record.answer) {
				return record.answer;
			}

			const name = record.answerObject!;
			return parseStoredAnswer(name, await objects.get(name));
		},
	};
}
