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

/** Options of a background settler. */
export type BackgroundSettlerOptions = {
	/** The options of the VM's coordinator. */
	readonly bookings: BookingOptions;
	/** Client accounts whose records this VM settles. */
	readonly accounts: () => Promise<readonly string[]>;
	/** True if the last request to the table service succeeded. */
	readonly isTableReachable: () => boolean;
	/** Limit on this VM's table reads in reads per second. */
	readonly readsPerSecond: number;
	/** Age from which a record that is not final is settled, in milliseconds. */
	readonly settleAfterMs: number;
	/** Called when a page could not be read or settled. */
	readonly onProblem: (problem: ProblemError) => void;
};

/**
 * Settles old records in the background that are not final, for example after a crash of their owner.
 * Without it, they would remain so until a caller repeats the call.
 */
export type BackgroundSettler = Disposable & {
	/** Starts reading records at the limited rate. */
	start(): void;
};

const pageRows = 100;

// Records younger than this have a scan of their own, which finds those of a crashed VM long before the
// scan of all records does.
const recentMs = 3_600_000;

const msPerSecond = 1000;

/** Creates a background settler; it does nothing until it is started. */
export function createBackgroundSettler(
	options: BackgroundSettlerOptions,
): BackgroundSettler {
	const context = createBookingContext(options.bookings);
	const {table, clock, timers, findTarget} = context;
	const settler = createBookingSettler(context);
	const scanFrom = (afterKey: () => string) =>
		createBookingScan(table, options.accounts, afterKey, pageRows);
	const scans = [
		scanFrom(() => bookingKeyPrefixAt(clock.wallMs() - recentMs)),
		scanFrom(() => ''),
	];
	let stepCount = 0;
	let timer: Disposable | undefined;

	const parseSettleable = (row: Row): BookingRecord | undefined => {
		try {
			const record = parseBookingRecord(row);
			const isNotFinal =
				record.state === 'started' || record.state === 'unknown';
			const isOld =
				record.startedWallMs <= clock.wallMs() - options.settleAfterMs;
			return isNotFinal && isOld ? record : undefined;
		} catch {
			context.count('corrupt-row');
			return undefined;
		}
	};

	const settleRow = async (row: Row): Promise<void> => {
		const record = parseSettleable(row);
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
			const rows = await scans[stepCount++ % scans.length].nextPage();
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
				// Not after a disposal during the step.
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
