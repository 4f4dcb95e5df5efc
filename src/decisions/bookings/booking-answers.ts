import type {ServiceResponse} from '../../common/index.js';
import {parseStoredAnswer} from './booking-record.js';
import type {BookingOptions, BookingRecord} from './types.js';

// Most bytes in UTF-8 for one UTF-16 code unit.
const maxBytesPerCodeUnit = 3;

/** Stores answers in the record itself, or in the object store if they are too large for a row. */
export type BookingAnswers = {
	/**
	 * Creates the `done` record of an answer; writes a large answer to the object store first.
	 * @throws ProblemError `object-store-unavailable`
	 */
	createDoneRecord(
		started: BookingRecord,
		answer: ServiceResponse,
	): Promise<BookingRecord>;
	/**
	 * Returns the answer of a `done` record.
	 * @throws ProblemError `object-store-unavailable` or `table-corrupt-row`
	 */
	load(record: BookingRecord): Promise<ServiceResponse>;
};

export function createBookingAnswers(options: BookingOptions): BookingAnswers {
	const {objects, limits} = options;
	const encoder = new TextEncoder();
	const fitsRow = (text: string) =>
		text.length * maxBytesPerCodeUnit <= limits.maxRowAnswerBytes ||
		encoder.encode(text).length <= limits.maxRowAnswerBytes;

	return {
		async createDoneRecord(started, answer) {
			const text = JSON.stringify(answer);
			if (fitsRow(text)) {
				return {...started, state: 'done', answer};
			}

			// The writing process and the attempt are part of the name, so no other process overwrites the
			// object that a record refers to.
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
