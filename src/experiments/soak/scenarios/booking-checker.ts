import type {
	InvariantMonitor,
	ProblemError,
	Row,
	ServiceResponse,
} from '../../../common/index.js';
import {
	bookingPrefix,
	parseBookingRecord,
} from '../../../decisions/bookings/index.js';

type Request = {
	readonly id: string;
	/** Idempotency key of the booking. */
	readonly key: string;
	/** Whether the VM that received the request has crashed. */
	readonly isVmCrashed: () => boolean;
	/** Body of the response, absent until one was received. */
	responseBody?: string;
	/** Error with which the request failed. */
	problem?: ProblemError;
};

// Row keys end with the booking key, a UUID.
const keyLength = 36;

/** Records every request, effect and row write of a simulated fleet and checks the booking invariants on them. */
export class BookingChecker {
	private readonly requests = new Map<string, Request>();
	/** Requests that took effect at the target, by key and in order. */
	private readonly effects = new Map<string, string[]>();
	/** Keys whose row was corrupted on purpose. */
	private readonly corruptKeys = new Set<string>();

	constructor(
		private readonly invariants: InvariantMonitor,
		private readonly trace: (line: string) => void = () => undefined,
	) {}

	/** Outcome of each request by its id: `answer`, the type of its error, or `none`. For tests. */
	get outcomes(): ReadonlyMap<string, string> {
		return new Map(
			[...this.requests].map(([id, {responseBody, problem}]) => [
				id,
				responseBody === undefined ? (problem?.type ?? 'none') : 'answer',
			]),
		);
	}

	/** Number of times that a key took effect at the target. */
	effectCount(key: string): number {
		return this.effects.get(key)?.length ?? 0;
	}

	/** Excludes a key from the checks of records, since its row was corrupted on purpose. */
	recordCorruption(key: string): void {
		this.corruptKeys.add(key);
	}

	/** @param isVmCrashed - whether the VM that received the request has crashed, so that it cannot respond */
	recordRequest(id: string, key: string, isVmCrashed: () => boolean): void {
		this.trace(`${id} arrives with key ${key.slice(-2)}`);
		this.requests.set(id, {id, key, isVmCrashed});
	}

	/**
	 * Records that a call took effect at the target, and checks that its key has no other effect.
	 * @param id - request whose body the call carried
	 */
	recordEffect(key: string, id: string): void {
		this.trace(`${id} takes effect for key ${key.slice(-2)}`);
		const effects = [...(this.effects.get(key) ?? []), id];
		this.effects.set(key, effects);
		this.invariants.check(
			'at-most-once',
			effects.length <= 1,
			() => `key ${key} took effect for ${effects.join(' and ')}`,
		);
		for (const request of this.requests.values()) {
			if (request.key === key) {
				this.checkNotRun(request);
			}
		}
	}

	/**
	 * Checks that a final record is not replaced; it may only be removed.
	 * @param before - value of the row before the write, `undefined` if there was none
	 * @param after - value of the row after the write, `undefined` if it was removed
	 */
	checkRowWrite(
		rowKey: string,
		before: string | undefined,
		after: string | undefined,
	): void {
		const key = rowKey.slice(-keyLength);
		if (
			!rowKey.startsWith(bookingPrefix) ||
			before === undefined ||
			after === undefined ||
			before === after ||
			this.corruptKeys.has(key)
		) {
			return;
		}

		const {state} = JSON.parse(before) as {state: string};
		this.invariants.check(
			'whole-answer',
			state === 'started' || state === 'unknown',
			() => `the final record (${state}) of key ${key} was replaced`,
		);
	}

	/** Records a response, and checks that it is the one to the call that took effect under its key. */
	recordResponse(id: string, response: ServiceResponse): void {
		this.trace(`${id} receives its response`);
		const request = this.requests.get(id)!;
		request.responseBody = response.body;
		const executedId = (JSON.parse(response.body) as {request: string}).request;
		this.invariants.check(
			'whole-answer',
			this.effects.get(request.key)?.[0] === executedId &&
				variantOf(executedId) === variantOf(id),
			() => `${id} received the response to ${executedId}`,
		);
		for (const other of this.requests.values()) {
			if (other.key === request.key && other.responseBody !== undefined) {
				this.invariants.check(
					'whole-answer',
					other.responseBody === response.body,
					() => `${id} and ${other.id} received different responses`,
				);
			}
		}
	}

	/** Records that a request failed, and checks that it did not run if the error says so. */
	recordProblem(id: string, problem: ProblemError): void {
		this.trace(`${id} fails with ${problem.type}`);
		const request = this.requests.get(id)!;
		request.problem = problem;
		this.checkNotRun(request);
	}

	/** Checks that every request has a response or an error, except those on crashed VMs. */
	checkNonePending(): void {
		for (const {
			id,
			responseBody,
			problem,
			isVmCrashed,
		} of this.requests.values()) {
			this.invariants.check(
				'whole-answer',
				responseBody !== undefined || problem !== undefined || isVmCrashed(),
				() => `${id} received neither a response nor an error`,
			);
		}
	}

	/**
	 * Compares final records with the effects and with the delivered responses.
	 * @param readObject - reads a response that is stored outside of its row
	 */
	async checkRecords(
		rows: readonly Row[],
		readObject: (name: string) => Promise<string | undefined>,
	): Promise<void> {
		for (const row of rows) {
			const key = row.key.slice(-keyLength);
			if (this.corruptKeys.has(key)) {
				continue;
			}

			const record = parseBookingRecord(row);
			this.invariants.check(
				'not-run',
				record.state !== 'not-run' || this.effectCount(key) === 0,
				() => `the record of key ${key} says not-run, but the call ran`,
			);
			if (record.state === 'done') {
				const answer =
					record.answer ??
					(JSON.parse(
						(await readObject(record.answerObject!))!,
					) as ServiceResponse);
				this.checkRecordedResponse(key, answer.body);
			}
		}
	}

	/** Checks that every record of a call that took effect has its response. */
	checkSettled(rows: readonly Row[]): void {
		for (const row of rows) {
			const key = row.key.slice(-keyLength);
			this.invariants.check(
				'whole-answer',
				this.corruptKeys.has(key) ||
					this.effectCount(key) === 0 ||
					parseBookingRecord(row).state === 'done',
				() => `the record of key ${key} was not settled`,
			);
		}
	}

	private checkRecordedResponse(key: string, recorded: string): void {
		const executedId = (JSON.parse(recorded) as {request: string}).request;
		this.invariants.check(
			'whole-answer',
			this.effects.get(key)?.[0] === executedId,
			() => `the record of key ${key} holds the response to ${executedId}`,
		);
		for (const {id, key: otherKey, responseBody} of this.requests.values()) {
			if (otherKey === key && responseBody !== undefined) {
				this.invariants.check(
					'whole-answer',
					responseBody === recorded,
					() => `${id} received a response that differs from the recorded one`,
				);
			}
		}
	}

	private checkNotRun({id, key, problem}: Request): void {
		this.invariants.check(
			'not-run',
			problem?.type !== 'not-run' || !this.effects.get(key)?.includes(id),
			() => `${id} failed with not-run, but its call ran`,
		);
		this.invariants.check(
			'not-run',
			problem?.details?.keyClosed !== true || this.effectCount(key) === 0,
			() => `the error of ${id} says that the key is closed, but the call ran`,
		);
	}
}

/** Variant of the body that a request sent, which is the prefix of its id. */
function variantOf(id: string): string {
	return id.split(':')[0];
}
