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
	/** Shortest time between the starts of two transactions, in milliseconds. */
	readonly spacingMs: number;
	/** Most writes in one transaction. */
	readonly maxBatchWrites: number;
	/** Most writes that wait; further ones are rejected. */
	readonly maxQueuedWrites: number;
};

/** Batches conditional writes into few transactions. */
export type GroupCommit = {
	/**
	 * Commits one conditional write.
	 * @throws ProblemError `table-unavailable` if nothing was written, for example since the queue is
	 * full; `table-outcome-unknown` if it is not known
	 */
	commit(write: ConditionalWrite): Promise<ConditionalResult>;
};

type QueuedWrite = {
	readonly write: ConditionalWrite;
	readonly resolve: (result: ConditionalResult) => void;
	readonly reject: (error: unknown) => void;
};

export function createGroupCommit(options: GroupCommitOptions): GroupCommit {
	const {table, clock, timers} = options;
	let queue: QueuedWrite[] = [];
	let scheduled = false;
	let nextFlushMs = Number.NEGATIVE_INFINITY;

	// A transaction may write a key only once, so a write stays queued if one of its keys occurs in an
	// earlier queued write. This also preserves the order of the writes of a key.
	const takeBatch = (): readonly QueuedWrite[] => {
		const batch: QueuedWrite[] = [];
		const rest: QueuedWrite[] = [];
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

	const send = async (batch: readonly QueuedWrite[]): Promise<void> => {
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
					`${options.maxQueuedWrites} writes are queued for the table service already; no more are accepted`,
				);
			}

			return new Promise((resolve, reject) => {
				queue.push({write, resolve, reject});
				schedule();
			});
		},
	};
}
