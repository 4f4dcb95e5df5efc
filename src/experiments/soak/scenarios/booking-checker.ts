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
	readonly key: string;
	readonly isVmCrashed: () => boolean;
	responseBody?: string;
	problem?: ProblemError;
};

const keyLength = 36;

/** Sees every request, effect and record of a simulated fleet and checks the promises on them. */
export class BookingChecker {
	private readonly requests = new Map<string, Request>();
	private readonly effects = new Map<string, string[]>();
	private readonly corruptKeys = new Set<string>();

	constructor(
		private readonly invariants: InvariantMonitor,
		private readonly trace: (line: string) => void = () => undefined,
	) {}

	/** Outcomes by request, for tests. */
	get outcomes(): ReadonlyMap<string, string> {
		return new Map(
			[...this.requests].map(([id, {responseBody, problem}]) => [
				id,
				responseBody === undefined ? (problem?.type ?? 'none') : 'answer',
			]),
		);
	}

	/** Effects by key. */
	effectCount(key: string): number {
		return this.effects.get(key)?.length ?? 0;
	}

	/** Leaves a key out of the comparison with records, since its row was damaged on purpose. */
	recordCorruption(key: string): void {
		this.corruptKeys.add(key);
	}

	recordRequest(id: string, key: string, isVmCrashed: () => boolean): void {
		this.trace(`${id} arrives with key ${key.slice(-2)}`);
		this.requests.set(id, {id, key, isVmCrashed});
	}

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

	/** Checks that a final record never changes; it may only be removed. */
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

	recordResponse(id: string, answer: ServiceResponse): void {
		this.trace(`${id} gets its answer`);
		const request = this.requests.get(id)!;
		request.responseBody = answer.body;
		const ranFor = (JSON.parse(answer.body) as {request: string}).request;
		this.invariants.check(
			'whole-answer',
			this.effects.get(request.key)?.[0] === ranFor &&
				variantOf(ranFor) === variantOf(id),
			() => `${id} got the answer to ${ranFor}`,
		);
		for (const other of this.requests.values()) {
			if (other.key === request.key && other.responseBody !== undefined) {
				this.invariants.check(
					'whole-answer',
					other.responseBody === answer.body,
					() => `${id} and ${other.id} got different answers`,
				);
			}
		}
	}

	recordProblem(id: string, problem: ProblemError): void {
		this.trace(`${id} gets ${problem.type}`);
		const request = this.requests.get(id)!;
		request.problem = problem;
		this.checkNotRun(request);
	}

	/** Checks that no request of a living VM was left without any answer. */
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
				() => `${id} was left without an answer`,
			);
		}
	}

	/** Compares final records with the effects and with the delivered answers. */
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

	/** Checks that no record of a call that took effect is left without its outcome. */
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
		const ranFor = (JSON.parse(recorded) as {request: string}).request;
		this.invariants.check(
			'whole-answer',
			this.effects.get(key)?.[0] === ranFor,
			() => `the record of key ${key} holds the answer to ${ranFor}`,
		);
		for (const {id, key: otherKey, responseBody} of this.requests.values()) {
			if (otherKey === key && responseBody !== undefined) {
				this.invariants.check(
					'whole-answer',
					responseBody === recorded,
					() => `${id} got an answer that is not the recorded one`,
				);
			}
		}
	}

	private checkNotRun({id, key, problem}: Request): void {
		this.invariants.check(
			'not-run',
			problem?.type !== 'not-run' || !this.effects.get(key)?.includes(id),
			() => `${id} was refused as not-run, but ran`,
		);
		this.invariants.check(
			'not-run',
			problem?.details?.keyClosed !== true || this.effectCount(key) === 0,
			() => `${id} was told that its key is closed, but the call ran`,
		);
	}
}

function variantOf(id: string): string {
	return id.split(':')[0];
}
