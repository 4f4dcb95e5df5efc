import {eventText, serviceBody} from '../../../platform/testing/index.js';
import type {ObservedRequest, Observations} from '../observations.js';
import type {Violation} from './invariant-check.js';

const okStatus = 200;

/** Text of a whole answer. */
function expectedBody({id, eventCount, stamp = ''}: ObservedRequest): string {
	return eventCount === 0
		? serviceBody(id, stamp.split('.')[0])
		: Array.from({length: eventCount}, (_, index) =>
				eventText(id, index + 1),
			).join('');
}

/** An answer that looks whole is the target's whole answer to this request. */
export function checkWholeAnswers({attempts}: Observations): Violation[] {
	return attempts
		.filter(({status, isWhole}) => status === okStatus && isWhole)
		.filter((attempt) => attempt.body !== expectedBody(attempt))
		.map(({id, kind, body}) => ({
			promise: 'whole-answer',
			detail: `${kind} ${id} got ${JSON.stringify(body.slice(-120))}`,
		}));
}

/** What has arrived of a stream is its beginning, without a gap or a repeat. */
export function checkEventOrder({attempts}: Observations): Violation[] {
	return attempts
		.filter(({status, eventCount}) => status === okStatus && eventCount > 0)
		.filter((attempt) => !expectedBody(attempt).startsWith(attempt.body))
		.map(({id, body}) => ({
			promise: 'event-order',
			detail: `report ${id} got ${JSON.stringify(body.slice(-160))}`,
		}));
}
