import {Buffer} from 'node:buffer';
import process from 'node:process';
import {
	type BookingCoordinator,
	BookingPeers,
	type BookingStatus,
	createBookingCoordinator,
	defaultBookingLimits,
} from '../../decisions/bookings/index.js';
import {
	createConfigurationFollower,
	createConfigurationReader,
	createConfigurationStore,
} from '../../decisions/configuration/index.js';
import {
	createInvariantMonitor,
	ProblemError,
	SeededRandomSource,
} from '../../common/index.js';
import {
	FakeObjectStore,
	FakePlainService,
	FakeTableService,
	VirtualTime,
} from '../fakes/index.js';

/** Cost of bookings at one rate. */
export type BookingSlope = {
	readonly bookingsPerSecond: number;
	readonly vmCount: number;
	/** Table transactions of all VMs. */
	readonly transactionsPerSecond: number;
	readonly transactionsPerBooking: number;
	readonly rowsWrittenPerBooking: number;
	readonly readsPerBooking: number;
	/** Virtual time from the request of a booking to its response, `targetMs` of the target included. */
	readonly meanLatencyMs: number;
	readonly targetMs: number;
	/** Size of a `done` record with a short answer. */
	readonly recordBytes: number;
	/** Processor time of this process, fakes and virtual clock included. */
	readonly cpuMicrosecondsPerBooking: number;
};

/** Cost of polling the configuration. */
export type PollingSlope = {
	readonly vmCount: number;
	/** Time between two polls of a VM, in milliseconds. */
	readonly pollMs: number;
	readonly readsPerSecond: number;
	readonly rowsReadPerSecond: number;
};

const tableLatencyMs = 6;
const tableTimeoutMs = 2000;
const targetMs = 30;
const bookingTimeoutMs = 10_000;
const settleMs = 5000;

class NoPeers extends BookingPeers {
	override async requestStatus(): Promise<BookingStatus> {
		throw new ProblemError(
			'peer-unavailable',
			'the measurement repeats no bookings',
		);
	}
}

function createMeasuredFleet(time: VirtualTime, vmCount: number) {
	const table = new FakeTableService(time, {
		latencyMs: tableLatencyMs,
		timeoutMs: tableTimeoutMs,
	});
	const target = new FakePlainService(time, {
		id: 'kiln-1',
		service: 'kiln',
		latencyMs: targetMs,
		answersOutcomes: true,
	});
	const random = new SeededRandomSource(1);
	let attemptCount = 0;
	const coordinators = Array.from({length: vmCount}, (_, vm) =>
		createBookingCoordinator({
			table,
			objects: new FakeObjectStore(time, tableLatencyMs),
			peers: new NoPeers(),
			clock: time,
			timers: time,
			random,
			incarnation: `vm-${vm}`,
			ownerAddress: () => `10.0.0.${vm}:7000`,
			createAttemptId: () => `attempt-${attemptCount++}`,
			chooseTarget: () => target,
			findTarget: () => target,
			limits: defaultBookingLimits,
			invariants: createInvariantMonitor(),
			count: () => undefined,
		}),
	);
	return {table, coordinators, random};
}

function createKey(wallMs: number, index: number): string {
	const time = Math.floor(wallMs).toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7abc-8def-${index.toString(16).padStart(12, '0')}`;
}

/**
 * Measures bookings at one rate, which arrive at random times at random VMs.
 * @param bookingsPerSecond - rate over all VMs
 * @param vmCount - number of entry VMs
 * @param seconds - length of the measurement in virtual time
 */
export async function measureBookings(
	bookingsPerSecond: number,
	vmCount: number,
	seconds: number,
): Promise<BookingSlope> {
	const time = new VirtualTime();
	const {table, coordinators, random} = createMeasuredFleet(time, vmCount);
	const count = bookingsPerSecond * seconds;
	let completedCount = 0;
	let latencySumMs = 0;
	const runBooking = async (coordinator: BookingCoordinator, index: number) => {
		const startMs = time.nowMs();
		await coordinator.run({
			account: 'finishers',
			key: createKey(time.wallMs(), index),
			bodyHash: 'hash',
			service: 'kiln',
			request: {
				method: 'POST',
				path: '/bookings',
				body: 'slot',
				contentType: 'text/plain',
			},
			timeoutMs: bookingTimeoutMs,
		});
		completedCount++;
		latencySumMs += time.nowMs() - startMs;
	};

	for (let index = 0; index < count; index++) {
		const coordinator = coordinators[random.nextInt(vmCount)];
		time.after(random.nextUnit() * seconds * 1000, () => {
			void runBooking(coordinator, index);
		});
	}

	const cpuBefore = process.cpuUsage();
	await time.runUntil(seconds * 1000 + settleMs);
	const cpu = process.cpuUsage(cpuBefore);
	if (completedCount !== count) {
		throw new ProblemError(
			'internal',
			`${count - completedCount} of ${count} bookings were not completed`,
		);
	}

	const {counts} = table;
	const [record] = table.peekAll('booking/');
	return {
		bookingsPerSecond,
		vmCount,
		transactionsPerSecond: counts.transactions / seconds,
		transactionsPerBooking: counts.transactions / count,
		rowsWrittenPerBooking: counts.rowsWritten / count,
		readsPerBooking: (counts.gets + counts.lists) / count,
		meanLatencyMs: latencySumMs / count,
		targetMs,
		recordBytes: Buffer.byteLength(record.value),
		cpuMicrosecondsPerBooking: (cpu.user + cpu.system) / count,
	};
}

/**
 * Measures the table reads of polling a configuration that changes at a steady rate.
 * @param vmCount - number of entry VMs
 * @param pollMs - time between two polls of a VM, in milliseconds
 * @param changesPerMinute - rate of accepted changes
 * @param seconds - length of the measurement in virtual time
 */
export async function measurePolling(
	vmCount: number,
	pollMs: number,
	changesPerMinute: number,
	seconds: number,
): Promise<PollingSlope> {
	const time = new VirtualTime();
	const table = new FakeTableService(time, {
		latencyMs: tableLatencyMs,
		timeoutMs: tableTimeoutMs,
	});
	const writerTable = new FakeTableService(time, {latencyMs: 0, timeoutMs: 1});
	const store = createConfigurationStore(writerTable);
	const random = new SeededRandomSource(1);
	const endMs = seconds * 1000;
	const runPolling = async (vm: number) => {
		const follower = createConfigurationFollower();
		const reader = createConfigurationReader({
			store: createConfigurationStore(table),
			follower,
			maxPages: 20,
			onCorruptRow: () => undefined,
		});
		await time.sleep((vm / vmCount) * pollMs);
		while (time.nowMs() < endMs) {
			await reader.poll();
			await time.sleep(pollMs);
		}
	};

	const commitChanges = async () => {
		const intervalMs = 60_000 / changesPerMinute;
		for (let version = 0; (version + 1) * intervalMs < endMs; version++) {
			await time.sleep(intervalMs);
			await store.commit({
				baseVersion: version,
				changeId: `change-${version}`,
				author: 'operator',
				atWallMs: time.wallMs(),
				edits: [
					{
						op: 'set',
						key: 'contract.shareWeight',
						value: 1 + random.nextInt(9),
					},
				],
			});
			// Changes are committed to a table of their own and then copied, so that the reads of the
			// commits do not count as polling.
			for (const {key, value} of writerTable.peekAll('config/')) {
				table.poke(key, value);
			}
		}
	};

	const tasks = [commitChanges()];
	for (let vm = 0; vm < vmCount; vm++) {
		tasks.push(runPolling(vm));
	}

	await time.runUntil(endMs + pollMs + settleMs);
	await Promise.all(tasks);
	const {counts} = table;
	return {
		vmCount,
		pollMs,
		readsPerSecond: (counts.gets + counts.lists) / seconds,
		rowsReadPerSecond: counts.rowsListed / seconds,
	};
}
