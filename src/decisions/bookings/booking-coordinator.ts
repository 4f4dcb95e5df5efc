import {
	ProblemError,
	type Row,
	type ServiceAnswer,
	type TableService,
} from '../../common/index.js';
import type {BookingCall, BookingRecord} from './types.js';

/** What a coordinator needs from its surroundings. */
export type BookingCoordinatorOptions = {
	readonly table: TableService;
	/** Instance of this entry VM's process. */
	readonly owner: string;
	/** Returns a new unique id. */
	readonly createAttemptId: () => string;
	/** Wall-clock time in milliseconds. */
	readonly wallMs: () => number;
};

/** Carries out calls that may not be repeated, each at most once. */
export type BookingCoordinator = {
	/**
	 * Runs a call or returns the recorded answer of an earlier one.
	 * @param call - identity of the call
	 * @param send - calls the target; invoked at most once
	 * @throws ProblemError `not-run`, `outcome-unknown` or `idempotency-key-reused`
	 */
	run(
		call: BookingCall,
		send: () => Promise<ServiceAnswer>,
	): Promise<ServiceAnswer>;
};

function rowKey(call: BookingCall): string {
	return `booking/${encodeURIComponent(call.account)}/${call.key}`;
}

function parseRecord(row: Row): BookingRecord {
	try {
		return JSON.parse(row.value) as BookingRecord;
	} catch {
		throw new ProblemError(
			'table-corrupt-row',
			`row "${row.key}" holds no valid record`,
			{
				field: row.key,
			},
		);
	}
}

/** Creates a coordinator. */
export function createBookingCoordinator(
	options: BookingCoordinatorOptions,
): BookingCoordinator {
	const {table} = options;

	const answerFrom = (
		call: BookingCall,
		record: BookingRecord,
	): ServiceAnswer => {
		if (record.bodyHash !== call.bodyHash) {
			throw new ProblemError(
				'idempotency-key-reused',
				'Idempotency-Key was used before with another request body',
				{field: 'Idempotency-Key'},
			);
		}

		if (record.state === 'done' && record.answer) {
			return record.answer;
		}

		if (record.state === 'not-run') {
			throw new ProblemError(
				'not-run',
				'this call was refused before and did not run',
			);
		}

		throw new ProblemError(
			'outcome-unknown',
			'this call may have run; ask again later',
		);
	};

	const claim = async (key: string, record: BookingRecord): Promise<Row> => {
		const value = JSON.stringify(record);
		try {
			const [result] = await table.commit([
				{checks: [{key, version: 0}], writes: [{key, value}]},
			]);
			return result.committed
				? {key, value, version: result.version}
				: result.current[0];
		} catch (error) {
			if (
				!(error instanceof ProblemError) ||
				error.type !== 'table-outcome-unknown'
			) {
				throw error;
			}

			const row = await table.get(key);
			if (!row) {
				throw error;
			}

			return row;
		}
	};

	const record = async (row: Row, next: BookingRecord): Promise<void> => {
		await table.commit([
			{
				checks: [{key: row.key, version: row.version}],
				writes: [{key: row.key, value: JSON.stringify(next)}],
			},
		]);
	};

	return {
		async run(call, send) {
			const started: BookingRecord = {
				state: 'started',
				owner: options.owner,
				attemptId: options.createAttemptId(),
				bodyHash: call.bodyHash,
				service: call.service,
				startedWallMs: options.wallMs(),
			};
			let row;
			try {
				row = await claim(rowKey(call), started);
			} catch (error) {
				throw new ProblemError('not-run', 'the table service is unavailable', {
					cause: error as Error,
					retryAfterMs: 1000,
				});
			}

			const found = parseRecord(row);
			if (found.attemptId !== started.attemptId) {
				return answerFrom(call, found);
			}

			try {
				const answer = await send();
				await record(row, {...started, state: 'done', answer});
				return answer;
			} catch (error) {
				const notSent =
					error instanceof ProblemError && error.type === 'target-unavailable';
				await record(row, {...started, state: notSent ? 'not-run' : 'unknown'});
				throw new ProblemError(
					notSent ? 'not-run' : 'outcome-unknown',
					notSent ? 'the target could not be reached' : 'the call may have run',
					{cause: error as Error},
				);
			}
		},
	};
}
