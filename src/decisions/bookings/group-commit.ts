import {
	type Clock,
	type ConditionalResult,
	type ConditionalWrite,
	ProblemError,
	type TableService,
	type Timers,
} from '../../common/index.js';

/** Options of a group commit. */
export type GroupCommitOptions = {
	readonly table: TableService;
	readonly clock: Clock;
	readonly timers: Timers;
	/** Shortest time between two transactions, in milliseconds. */
	readonly spacingMs: number;
	readonly maxBatchWrites: number;
	readonly maxQueuedWrites: number;
};

/** Gathers conditional writes of one VM into few transactions. */
export type GroupCommit = {
	/**
	 * Carries out one conditional write.
	 * @throws ProblemError `table-unavailable` or `table-outcome-unknown`
	 */
	commit(write: ConditionalWrite): Promise<ConditionalResult>;
};

type Item = {
	readonly write: ConditionalWrite;
	readonly resolve: (result: ConditionalResult) => void;
	readonly reject: (error: unknown) => void;
};

/** Creates a group commit without waiting writes. */
export function createGroupCommit(options: GroupCommitOptions): GroupCommit {
	const {table, clock, timers} = options;
	let queue: Item[] = [];
	let scheduled = false;
	let nextFlushMs = Number.NEGATIVE_INFINITY;

	// A write whose key is in the batch already stays queued, so that no key is written twice.
	const takeBatch = (): readonly Item[] => {
		const batch: Item[] = [];
		const rest: Item[] = [];
		const keys = new Set<string>();
		for (const item of queue) {
			const {writes} = item.write;
			if (
				batch.length < options.maxBatchWrites &&
				!writes.some(({key}) => keys.has(key))
			) {
				batch.push(item);
			} else {
				rest.push(item);
			}

			for (const {key} of writes) {
				keys.add(key);
			}
		}

		queue = rest;
		return batch;
	};

	const send = async (batch: readonly Item[]): Promise<void> => {
		try {
			const results = await table.commit(batch.map((item) => item.write));
			for (const [index, item] of batch.entries()) {
				item.resolve(results[index]);
			}
		} catch (error) {
			for (const item of batch) {
				item.reject(error);
			}
		}
	};

	const schedule = (): void => {
		if (scheduled || queue.length === 0) {
			return;
		}

		scheduled = true;
		timers.after(nextFlushMs - clock.nowMs(), () => {
			scheduled = false;
			nextFlushMs = clock.nowMs() + options.spacingMs;
			void send(takeBatch());
			schedule();
		});
	};

	return {
		async commit(write) {
			if (queue.length >= options.maxQueuedWrites) {
				throw new ProblemError(
					'table-unavailable',
					`${options.maxQueuedWrites} writes wait for the table service already`,
				);
			}

			return new Promise((resolve, reject) => {
				queue.push({write, resolve, reject});
				schedule();
			});
		},
	};
}
