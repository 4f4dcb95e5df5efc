import {ProblemError} from '../common/index.js';

const minStatus = 100;
const maxStatus = 599;

/** A response whose status HTTP does not define; the sender has failed, and its meaning is unknown. */
export class UndefinedStatusError extends ProblemError {
	constructor(status: number) {
		super('target-protocol', `HTTP does not define the status ${status}`);
	}
}

/** @returns true for a status that HTTP defines, from 100 to 599 */
export const isDefinedStatus = (status: number): boolean =>
	status >= minStatus && status <= maxStatus;
