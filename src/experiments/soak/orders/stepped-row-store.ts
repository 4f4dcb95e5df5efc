import {
	RowStore,
	type TableChanges,
	type TableSnapshot,
	toProblem,
} from '../../../common/index.js';
import type {FakeStoreContent} from '../../fakes/index.js';

/** A read of the store that has not returned. */
type PendingRead = {
	/** Names the read in the key of a state. */
	readonly label: string;
	/** True if the store holds the read until there is something to report, or until its time is up. */
	readonly isHeld: boolean;
	/** Era in which the read began. */
	readonly era: number;
	readonly execute: () => TableChanges | TableSnapshot;
	readonly settle: (result: ReadResult) => void;
	result?: ReadResult;
};

type ReadResult = {
	readonly value?: TableChanges | TableSnapshot;
	readonly error?: Error;
};

/**
 * Client of a store in memory whose reads of one table are executed by the store, and return, only when the
 * exploration says so. Other tables can be read once, and then never change.
 */
export class SteppedRowStore extends RowStore {
	private pending: PendingRead | undefined;

	constructor(
		private readonly content: FakeStoreContent,
		private readonly table: string,
	) {
		super();
	}

	/** True if a read is in progress that the store has not executed. */
	get isWaiting(): boolean {
		return this.pending !== undefined && this.pending.result === undefined;
	}

	/** True if the execution of the read in progress has a result other than that nothing has changed. */
	get canExecute(): boolean {
		const {pending} = this;
		return (
			pending !== undefined &&
			pending.result === undefined &&
			(!pending.isHeld || this.hasNews(pending))
		);
	}

	/** True if the result of the read in progress can arrive. */
	get canReturn(): boolean {
		return this.pending?.result !== undefined;
	}

	/** The read in progress, for the key of a state. */
	get label(): string {
		const {pending} = this;
		const result = pending?.result;
		return `${pending?.label} ${JSON.stringify(result?.value?.revision)} ${result?.error?.message}`;
	}

	/** Lets the store execute the read in progress. */
	execute(): void {
		const {pending} = this;
		if (pending) {
			pending.result = resultOf(pending);
		}
	}

	/** Lets the result of the read in progress arrive. */
	return(): void {
		const {pending} = this;
		this.pending = undefined;
		if (pending?.result) {
			pending.settle(pending.result);
		}
	}

	override async snapshot(table: string): Promise<TableSnapshot> {
		return table === this.table
			? this.read('snapshot', false, () => this.content.snapshot(table))
			: this.content.snapshot(table);
	}

	override async changes(
		table: string,
		afterVersion: number,
		waitMs: number,
	): Promise<TableChanges> {
		return table === this.table
			? this.read(`changes ${afterVersion}`, waitMs > 0, () =>
					this.content.changesAfter(table, afterVersion),
				)
			: new Promise(() => {
					// Never returns, as a long poll without changes.
				});
	}

	override async put(): Promise<void> {
		throw new Error('the store side writes nothing');
	}

	private async read<T extends TableChanges | TableSnapshot>(
		label: string,
		isHeld: boolean,
		execute: () => T,
	): Promise<T> {
		return new Promise<T>((resolve, reject) => {
			const settle = ({value, error}: ReadResult) => {
				if (error) {
					reject(error);
				} else {
					resolve(value as T);
				}
			};

			const {era} = this.content.snapshot(this.table).revision;
			this.pending = {label, isHeld, era, execute, settle};
		});
	}

	private hasNews(pending: PendingRead): boolean {
		const {value, error} = resultOf(pending);
		return (
			error !== undefined ||
			(value !== undefined && value.revision.era !== pending.era) ||
			(value !== undefined && 'changes' in value && value.changes.length > 0)
		);
	}
}

function resultOf({execute}: PendingRead): ReadResult {
	try {
		return {value: execute()};
	} catch (error) {
		return {error: toProblem(error, 'table-unavailable')};
	}
}
