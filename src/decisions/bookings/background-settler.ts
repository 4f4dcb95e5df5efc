import {
	type Disposable,
	type ProblemError,
	type Row,
	toProblem,
} from '../../common/index.js';
import {createBookingContext} from './booking-context.js';
import {bookingKeyPrefixAt} from './booking-key.js';
import {parseBookingRecord} from './booking-record.js';
import {createBookingSettler} from './booking-settler.js';
import {createBookingScan} from './booking-scan.js';
import type {BookingOptions, BookingRecord} from './types.js';

/** Options of the settlement of old records. */
export type BackgroundSettlerOptions = {
	/** The same surroundings that the VM's bookings have. */
	readonly bookings: BookingOptions;
	/** This VM's part of the client accounts. */
	readonly accounts: () => Promise<readonly string[]>;
	/** Whether the table service answered last time. */
	readonly isTableReachable: () => boolean;
	/** Bound on this VM's table reads for the settlement, in reads per second. */
	readonly readsPerSecond: number;
	/** Age from which a record without outcome is settled, in milliseconds. */
	readonly settleAfterMs: number;
	readonly onProblem: (problem: ProblemError) => void;
};

/** Settles records that no caller asks for any more. */
export type BackgroundSettler = Disposable & {
	/** Starts to read records at the bounded rate. */
	start(): void;
};

const pageRows = 100;

// Records of crashed VMs are found here long before the walk over all records reaches them.
const recentMs = 3_600_000;

const msPerSecond = 1000;

/** Creates the settlement; it is idle until it is started. */
export function createBackgroundSettler(
	options: BackgroundSettlerOptions,
): BackgroundSettler {
	const context = createBookingContext(options.bookings);
	const {table, clock, timers, findTarget} = context;
	const settler = createBookingSettler(context);
	const walkFrom = (firstKey: () => string) =>
		createBookingScan(table, options.accounts, firstKey, pageRows);
	const walks = [
		walkFrom(() => bookingKeyPrefixAt(clock.wallMs() - recentMs)),
		walkFrom(() => ''),
	];
	let stepCount = 0;
	let timer: Disposable | undefined;

	const readOpen = (row: Row): BookingRecord | undefined => {
		try {
			const record = parseBookingRecord(row);
			const isOpen = record.state === 'started' || record.state === 'unknown';
			const isOld =
				record.startedWallMs <= clock.wallMs() - options.settleAfterMs;
			return isOpen && isOld ? record : undefined;
		} catch {
			context.count('corrupt-row');
			return undefined;
		}
	};

	const settleRow = async (row: Row): Promise<void> => {
		const record = readOpen(row);
		if (
			record &&
			findTarget(record.targetId)?.description.answersOutcomes &&
			options.isTableReachable()
		) {
			const key = row.key.slice(row.key.lastIndexOf('/') + 1);
			await settler.settle(key, row, record);
		}
	};

	const step = async (): Promise<void> => {
		if (!options.isTableReachable()) {
			return;
		}

		try {
			const rows = await walks[stepCount++ % walks.length].nextPage();
			for (const row of rows) {
				await settleRow(row);
			}
		} catch (error) {
			options.onProblem(toProblem(error));
		}
	};

	const schedule = (): void => {
		timer = timers.after(msPerSecond / options.readsPerSecond, () => {
			void step().finally(() => {
				// Disposal during a step ends the settlement.
				if (timer) {
					schedule();
				}
			});
		});
	};

	return {
		start: schedule,
		dispose() {
			timer?.dispose();
			timer = undefined;
		},
	};
}
