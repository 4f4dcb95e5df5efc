import {eventText, serviceBody} from '../../../platform/testing/index.js';
import type {ObservedRequest, Observations} from '../observations.js';
import type {Violation} from './invariant-check.js';

const okStatus = 200;

/** Body of a complete response. */
function expectedBody({id, eventCount, stamp = ''}: ObservedRequest): string {
	return eventCount === 0
		? serviceBody(id, stamp.split('.')[0])
		: Array.from({length: eventCount}, (_, index) =>
				eventText(id, index + 1),
			).join('');
}

/** A response that was not cut off has the complete body that the target sent for this request. */
export function checkWholeAnswers({attempts}: Observations): Violation[] {
	return attempts
		.filter(({status, isWhole}) => status === okStatus && isWhole)
		.filter((request) => request.body !== expectedBody(request))
		.map(({id, kind, body}) => ({
			promise: 'whole-answer',
			detail: `${kind} ${id} got an incomplete or foreign body that ends with ${JSON.stringify(body.slice(-120))}`,
		}));
}

/** The events received of a stream are a prefix of it, without a gap or a duplicate. */
export function checkEventOrder({attempts}: Observations): Violation[] {
	return attempts
		.filter(({status, eventCount}) => status === okStatus && eventCount > 0)
		.filter((request) => !expectedBody(request).startsWith(request.body))
		.map(({id, body}) => ({
			promise: 'event-order',
			detail: `report ${id} got events that are no prefix of its stream and end with ${JSON.stringify(body.slice(-160))}`,
		}));
}
