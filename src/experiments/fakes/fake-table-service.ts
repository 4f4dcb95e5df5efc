import {
	type ConditionalResult,
	type ConditionalWrite,
	type ListOptions,
	ProblemError,
	type Row,
	TableService,
} from '../../common/index.js';
import {createTableStore} from '../../standins/platform/index.js';
import type {VirtualTime} from './virtual-time.js';

/** Latency of a fake table service. */
export type FakeTableServiceOptions = {
	/** Time of a call there and back, in milliseconds. */
	readonly latencyMs: number;
	/** Time after which a call without an answer fails, in milliseconds. */
	readonly timeoutMs: number;
	/** Called after each write of a row with its value before and after. */
	readonly onWrite?: (
		key: string,
		before: string | undefined,
		after: string | undefined,
	) => void;
};

/** A period in which calls fail or are slow. */
export type TableFaultPeriod = {
	readonly fromMs: number;
	readonly untilMs: number;
	/** `refuse` fails at once, `silent` fails after the timeout, `slow` adds latency. */
	readonly kind: 'refuse' | 'silent' | 'slow';
	/** Latency that `slow` adds, in milliseconds. */
	readonly extraMs?: number;
};

/** A fault of one transaction. */
export type CommitFault = {
	/**
	 * `answer-lost` fails after the effect; `late-effect` fails before the effect, which follows
	 * later; `no-effect` fails in the same way without any effect; `duplicated` delivers the
	 * transaction once more later.
	 */
	readonly kind: 'answer-lost' | 'late-effect' | 'no-effect' | 'duplicated';
	/** Delay of the late effect or of the duplicate, in milliseconds. */
	readonly delayMs?: number;
	/** The fault hits the next transaction that writes a key with this prefix. */
	readonly keyPrefix?: string;
};

/** Calls that a fake table service has answered or failed. */
export type TableCounts = {
	transactions: number;
	conditionalWrites: number;
	rowsWritten: number;
	gets: number;
	lists: number;
	rowsListed: number;
};

const noAnswer = () =>
	new ProblemError(
		'table-outcome-unknown',
		'the table service did not answer in time',
	);

/** Table service in memory over virtual time, with planned faults. */
export class FakeTableService extends TableService {
	readonly counts: TableCounts = {
		transactions: 0,
		conditionalWrites: 0,
		rowsWritten: 0,
		gets: 0,
		lists: 0,
		rowsListed: 0,
	};

	private readonly store = createTableStore();
	private readonly periods: TableFaultPeriod[] = [];
	private readonly faults: CommitFault[] = [];

	constructor(
		private readonly time: VirtualTime,
		private readonly options: FakeTableServiceOptions,
	) {
		super();
	}

	/** Plans a period of failing or slow calls. */
	planFaultPeriod(period: TableFaultPeriod): void {
		this.periods.push(period);
	}

	/** Plans a fault of the next matching transaction. */
	planCommitFault(fault: CommitFault): void {
		this.faults.push(fault);
	}

	/** Ends every planned fault. */
	clearFaults(): void {
		this.periods.length = 0;
		this.faults.length = 0;
	}

	/** Reads a row at once, for checks. */
	peek(key: string): Row | undefined {
		return this.store.get(key);
	}

	/** Lists rows at once, for checks. */
	peekAll(prefix: string): readonly Row[] {
		return this.store.list(prefix, {limit: Number.MAX_SAFE_INTEGER});
	}

	/** Writes a row at once, for example a corrupt one. */
	poke(key: string, value: string | undefined): void {
		this.store.commit([{checks: [], writes: [{key, value}]}]);
	}

	override async get(key: string): Promise<Row | undefined> {
		this.counts.gets++;
		return this.read(() => this.store.get(key));
	}

	override async list(
		prefix: string,
		options: ListOptions,
	): Promise<readonly Row[]> {
		this.counts.lists++;
		const rows = await this.read(() => this.store.list(prefix, options));
		this.counts.rowsListed += rows.length;
		return rows;
	}

	override async commit(
		batch: readonly ConditionalWrite[],
	): Promise<readonly ConditionalResult[]> {
		this.counts.transactions++;
		checkDistinctKeys(batch);
		const fault = this.takeFault(batch);
		const {latencyMs, timeoutMs} = this.options;
		const period = this.periodNow();
		await this.failInOutage(period, 'table-outcome-unknown');
		if (fault?.kind === 'late-effect') {
			this.applyAfter(latencyMs + (fault.delayMs ?? timeoutMs), batch);
			await this.time.sleep(latencyMs);
			throw noAnswer();
		}

		if (fault?.kind === 'no-effect') {
			await this.time.sleep(latencyMs);
			throw noAnswer();
		}

		const oneWayMs = (latencyMs + (period?.extraMs ?? 0)) / 2;
		if (oneWayMs * 2 > timeoutMs) {
			this.applyAfter(oneWayMs, batch);
			await this.time.sleep(timeoutMs);
			throw noAnswer();
		}

		await this.time.sleep(oneWayMs);
		const results = this.apply(batch);
		if (fault?.kind === 'duplicated') {
			this.applyAfter(fault.delayMs ?? timeoutMs, batch);
		}

		await this.time.sleep(oneWayMs);
		if (fault?.kind === 'answer-lost') {
			throw noAnswer();
		}

		return results;
	}

	private async read<T>(read: () => T): Promise<T> {
		const period = this.periodNow();
		await this.failInOutage(period, 'table-unavailable');
		const {latencyMs, timeoutMs} = this.options;
		const oneWayMs = (latencyMs + (period?.extraMs ?? 0)) / 2;
		if (oneWayMs * 2 > timeoutMs) {
			await this.time.sleep(timeoutMs);
			throw new ProblemError('table-unavailable', 'the read timed out');
		}

		await this.time.sleep(oneWayMs);
		const value = read();
		await this.time.sleep(oneWayMs);
		return value;
	}

	private async failInOutage(
		period: TableFaultPeriod | undefined,
		silentType: 'table-unavailable' | 'table-outcome-unknown',
	): Promise<void> {
		if (period?.kind === 'refuse') {
			await this.time.sleep(this.options.latencyMs);
			throw new ProblemError('table-unavailable', 'the table service is down');
		}

		if (period?.kind === 'silent') {
			await this.time.sleep(this.options.timeoutMs);
			throw new ProblemError(silentType, 'the table service did not answer');
		}
	}

	private periodNow(): TableFaultPeriod | undefined {
		const nowMs = this.time.nowMs();
		return this.periods.find(
			(period) => nowMs >= period.fromMs && nowMs < period.untilMs,
		);
	}

	private takeFault(
		batch: readonly ConditionalWrite[],
	): CommitFault | undefined {
		const index = this.faults.findIndex(({keyPrefix = ''}) =>
			batch.some((write) =>
				write.writes.some(({key}) => key.startsWith(keyPrefix)),
			),
		);
		return index === -1 ? undefined : this.faults.splice(index, 1)[0];
	}

	private applyAfter(
		delayMs: number,
		batch: readonly ConditionalWrite[],
	): void {
		this.time.after(delayMs, () => {
			this.apply(batch);
		});
	}

	private apply(
		batch: readonly ConditionalWrite[],
	): readonly ConditionalResult[] {
		const before = batch.map((write) =>
			write.writes.map(({key}) => this.store.get(key)?.value),
		);
		const results = this.store.commit(batch);
		this.counts.conditionalWrites += batch.length;
		for (const [index, result] of results.entries()) {
			if (result.committed) {
				const {writes} = batch[index];
				this.counts.rowsWritten += writes.length;
				for (const [position, {key, value}] of writes.entries()) {
					this.options.onWrite?.(key, before[index][position], value);
				}
			}
		}

		return results;
	}
}

function checkDistinctKeys(batch: readonly ConditionalWrite[]): void {
	const keys = batch.flatMap((write) => write.writes.map(({key}) => key));
	if (new Set(keys).size !== keys.length) {
		throw new ProblemError('internal', 'a transaction writes a key twice');
	}
}
