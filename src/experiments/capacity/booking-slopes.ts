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

/** What bookings cost at one rate. */
export type BookingSlope = {
	readonly bookingsPerSecond: number;
	readonly vmCount: number;
	/** Transactions of all VMs. */
	readonly transactionsPerSecond: number;
	readonly transactionsPerBooking: number;
	readonly rowsWrittenPerBooking: number;
	readonly readsPerBooking: number;
	/** Virtual time from call to answer, of which the target takes `targetMs`. */
	readonly meanLatencyMs: number;
	readonly targetMs: number;
	/** Bytes of a `done` record with a short answer. */
	readonly recordBytes: number;
	/** Time of this processor, with the fakes and the virtual clock. */
	readonly cpuMicrosecondsPerBooking: number;
};

/** What polling the configuration costs. */
export type PollingSlope = {
	readonly vmCount: number;
	readonly pollMs: number;
	readonly readsPerSecond: number;
	readonly rowsReadPerSecond: number;
};

const tableLatencyMs = 6;
const tableTimeoutMs = 2000;
const targetMs = 30;
const bookingTimeoutMs = 10_000;
const drainMs = 5000;

class NoOwners extends BookingPeers {
	override async requestStatus(): Promise<BookingStatus> {
		throw new ProblemError('peer-unavailable', 'no repeats are measured');
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
			peers: new NoOwners(),
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
 * Measures bookings at one rate, with arrivals at random times through random VMs.
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
	let answered = 0;
	let latencySumMs = 0;
	const book = async (coordinator: BookingCoordinator, index: number) => {
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
		answered++;
		latencySumMs += time.nowMs() - startMs;
	};

	for (let index = 0; index < count; index++) {
		const coordinator = coordinators[random.nextInt(vmCount)];
		time.after(random.nextUnit() * seconds * 1000, () => {
			void book(coordinator, index);
		});
	}

	const before = process.cpuUsage();
	await time.runUntil(seconds * 1000 + drainMs);
	const cpu = process.cpuUsage(before);
	if (answered !== count) {
		throw new ProblemError(
			'internal',
			`${count - answered} of ${count} bookings were not answered`,
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
 * Measures the reads of polling a configuration that changes.
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
	const author = new FakeTableService(time, {latencyMs: 0, timeoutMs: 1});
	const store = createConfigurationStore(author);
	const random = new SeededRandomSource(1);
	const endMs = seconds * 1000;
	const poll = async (vm: number) => {
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

	const change = async () => {
		const changeMs = 60_000 / changesPerMinute;
		for (let version = 0; (version + 1) * changeMs < endMs; version++) {
			await time.sleep(changeMs);
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
			// The author's reads do not count as polling.
			for (const {key, value} of author.peekAll('config/')) {
				table.poke(key, value);
			}
		}
	};

	const work = [change()];
	for (let vm = 0; vm < vmCount; vm++) {
		work.push(poll(vm));
	}

	await time.runUntil(endMs + pollMs + drainMs);
	await Promise.all(work);
	const {counts} = table;
	return {
		vmCount,
		pollMs,
		readsPerSecond: (counts.gets + counts.lists) / seconds,
		rowsReadPerSecond: counts.rowsListed / seconds,
	};
}
