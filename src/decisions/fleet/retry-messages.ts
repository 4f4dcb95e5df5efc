import type {FieldReader} from './field-reader.js';
import type {RetryCredit} from './retry-pool.js';

/** Retries are sent in thousandths and rounded down, so that no more is ceded than was taken. */
const unitsPerRetry = 1000;

export const encodeRetryCredit = ({service, retries}: RetryCredit) => [
	service,
	Math.floor(retries * unitsPerRetry),
];

export function decodeRetryCredit(fields: FieldReader): RetryCredit {
	return {
		service: fields.string(),
		retries: fields.number() / unitsPerRetry,
	};
}
