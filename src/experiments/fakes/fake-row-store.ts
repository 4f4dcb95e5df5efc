import {
	createEmitter,
	type Event,
	ProblemError,
	type RowChange,
	RowStore,
	type TableChanges,
	type TableSnapshot,
	type Timers,
} from '../../common/index.js';

type Change = Omit<RowChange, 'revision'> & {
	readonly table: string;
	readonly version: number;
};

/** Content of a store at some moment. */
export type FakeStoreCopy = {
	readonly changes: readonly Change[];
	readonly version: number;
};

/** Content of a store in memory, which any number of clients read. */
export class FakeStoreContent {
	/** Fires after each write. */
	readonly onWritten: Event<void>;
	private readonly written = createEmitter<void>();
	private changes: readonly Change[] = [];
	private version = 0;
	private era = 0;

	constructor() {
		this.onWritten = this.written.event;
	}

	/** Writes a row as JSON; undefined removes it. */
	put(table: string, key: string, value: unknown): void {
		this.version++;
		const text = value === undefined ? undefined : JSON.stringify(value);
		this.changes = [
			...this.changes,
			{
				table,
				key,
				version: this.version,
				value: text === undefined ? undefined : new TextEncoder().encode(text),
			},
		];
		this.written.fire();
	}

	snapshot(table: string): TableSnapshot {
		const newest = new Map<string, Change>();
		for (const change of this.changes) {
			if (change.table === table) {
				newest.set(change.key, change);
			}
		}

		const {era, version: newestVersion} = this;
		const rows = [...newest.values()].flatMap(({key, value, version}) =>
			value ? {key, value, revision: {era, version}} : [],
		);
		return {rows, revision: {era, version: newestVersion}};
	}

	changesAfter(table: string, afterVersion: number): TableChanges {
		const {era, version: newestVersion} = this;
		if (afterVersion > newestVersion) {
			throw new ProblemError('table-history-lost', 'no such version');
		}

		const changes = this.changes
			.filter(
				(change) => change.table === table && change.version > afterVersion,
			)
			.map(({key, value, version}) => ({
				key,
				value,
				revision: {era, version},
			}));
		return {changes, revision: {era, version: newestVersion}};
	}

	/** Takes a copy, to be restored later. */
	copy(): FakeStoreCopy {
		return {changes: this.changes, version: this.version};
	}

	/** Returns to a copy: raises the era by one, and issues the versions after that of the copy again. */
	restore({changes, version}: FakeStoreCopy): void {
		this.changes = changes;
		this.version = version;
		this.era++;
	}
}

/** Client of a store in memory that can be cut off from it. */
export class FakeRowStore extends RowStore {
	isReachable = true;

	constructor(
		private readonly content: FakeStoreContent,
		private readonly timers: Timers,
	) {
		super();
	}

	override async snapshot(table: string): Promise<TableSnapshot> {
		this.requireReachable();
		return this.content.snapshot(table);
	}

	override async changes(
		table: string,
		afterVersion: number,
		waitMs: number,
	): Promise<TableChanges> {
		this.requireReachable();
		const found = this.content.changesAfter(table, afterVersion);
		if (found.changes.length > 0 || waitMs === 0) {
			return found;
		}

		await this.waitForWrite(waitMs);
		this.requireReachable();
		return this.content.changesAfter(table, afterVersion);
	}

	override async put(
		table: string,
		key: string,
		value: Uint8Array,
	): Promise<void> {
		this.requireReachable();
		this.content.put(table, key, JSON.parse(new TextDecoder().decode(value)));
	}

	private requireReachable(): void {
		if (!this.isReachable) {
			throw new ProblemError('table-unavailable', 'the store is cut off');
		}
	}

	private async waitForWrite(waitMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			const end = () => {
				timer.dispose();
				written.dispose();
				resolve();
			};

			const timer = this.timers.after(waitMs, end);
			const written = this.content.onWritten(end);
		});
	}
}
