import process from 'node:process';
import {runProgram} from '../../programs/command-line.js';
import {measureBookings, measurePolling} from './booking-slopes.js';
import {loadReportFigures} from './load-report-slopes.js';
import {measureMembershipSlopes} from './membership-slopes.js';
import {measureOrderSlopes} from './order-slopes.js';
import {measurePlacementSlopes} from './placement-slopes.js';
import {promptPartFigures} from './prompt-part-slopes.js';
import {rateLimitFigures} from './rate-limit-slopes.js';
import type {Figure} from './types.js';

const bookingRates = [10, 100, 600];
const bookingVmCount = 8;
const bookingSeconds = 10;
const pollingSizes = [
	{vmCount: 8, pollMs: 2000},
	{vmCount: 80, pollMs: 4000},
	{vmCount: 320, pollMs: 4000},
];
const pollingSeconds = 60;
const changesPerMinute = 1;
const membershipSeed = 1;

function placementFigures(): readonly Figure[] {
	const slopes = measurePlacementSlopes();
	return [
		...Object.entries(slopes.placementMicros).map(([engines, value]) => ({
			name: `placement among ${engines} engines`,
			value,
			unit: 'µs of processor time',
		})),
		{
			name: 'state of an engine',
			value: slopes.engineBytes,
			unit: 'bytes',
		},
		{
			name: 'entry of the length statistics',
			value: slopes.statisticsEntryBytes,
			unit: 'bytes',
		},
	];
}

async function bookingFigures(): Promise<readonly Figure[]> {
	const figures: Figure[] = [];
	for (const rate of bookingRates) {
		const slope = await measureBookings(rate, bookingVmCount, bookingSeconds);
		const at = `at ${rate} bookings/s over ${bookingVmCount} VMs`;
		figures.push(
			{
				name: `transactions ${at}`,
				value: slope.transactionsPerSecond,
				unit: '1/s',
			},
			{
				name: `rows written for a booking ${at}`,
				value: slope.rowsWrittenPerBooking,
				unit: 'rows',
			},
			{
				name: `reads for a booking ${at}`,
				value: slope.readsPerBooking,
				unit: 'reads',
			},
			{
				name: `processor time of a booking ${at}`,
				value: slope.cpuMicrosecondsPerBooking,
				unit: 'µs',
			},
		);
	}

	return figures;
}

async function pollingFigures(): Promise<readonly Figure[]> {
	const figures: Figure[] = [];
	for (const {vmCount, pollMs} of pollingSizes) {
		const slope = await measurePolling(
			vmCount,
			pollMs,
			changesPerMinute,
			pollingSeconds,
		);
		figures.push({
			name: `reads of the configuration by ${vmCount} VMs every ${pollMs} ms`,
			value: slope.readsPerSecond,
			unit: '1/s',
		});
	}

	return figures;
}

async function orderFigures(): Promise<readonly Figure[]> {
	const slopes = await measureOrderSlopes();
	return slopes.flatMap((slope) => {
		const at = `for ${slope.targetCount} targets over ${slope.vmCount} VMs`;
		return [
			{
				name: `lease transactions ${at}`,
				value: slope.transactionsPerSecond,
				unit: '1/s',
			},
			{name: `lease reads ${at}`, value: slope.readsPerSecond, unit: '1/s'},
			{
				name: `processor time of leases on one VM ${at}`,
				value: slope.cpuMsPerSecondPerVm,
				unit: 'ms/s',
			},
		];
	});
}

async function membershipFigures(): Promise<readonly Figure[]> {
	const {simulated, loopback, memory} =
		await measureMembershipSlopes(membershipSeed);
	return [
		...simulated.flatMap((slope) => [
			{
				name: `membership bodies sent by one of ${slope.members} members`,
				value: slope.bodyBytes,
				unit: 'bytes/s',
			},
			{
				name: `membership messages sent by one of ${slope.members} members`,
				value: slope.messagesSent,
				unit: '1/s',
			},
			{
				name: `leaving target known to all of ${slope.members} members`,
				value: slope.leavingKnownMs,
				unit: 'ms',
			},
			{
				name: `usage error of the largest accounts with ${slope.members} members`,
				value: slope.largeAccountsUsageError,
				unit: 'ratio',
			},
		]),
		...loopback.flatMap((slope) => [
			{
				name: `membership bytes with headers sent by one of ${slope.members} members`,
				value: slope.sentBytes,
				unit: 'bytes/s',
			},
			{
				name: `processor time of membership on one of ${slope.members} members`,
				value: slope.processorMs,
				unit: 'ms/s',
			},
		]),
		{name: 'state of a peer', value: memory.perPeerBytes, unit: 'bytes'},
		{
			name: 'report on a client account',
			value: memory.perAccountReportBytes,
			unit: 'bytes',
		},
		{
			name: 'report on a target',
			value: memory.perTargetReportBytes,
			unit: 'bytes',
		},
	];
}

/** Returns the figures that `scripts/capacity.sh` measured on separate processes. */
function processFigures(): readonly Figure[] {
	const text = process.env.CAPACITY_PROCESS_FIGURES;
	return text === undefined ? [] : (JSON.parse(text) as readonly Figure[]);
}

await runProgram(async () => {
	const engineUrl = process.env.CAPACITY_ENGINE_URL;
	const figures = [
		...processFigures(),
		...(engineUrl === undefined ? [] : await loadReportFigures(engineUrl)),
		...placementFigures(),
		...rateLimitFigures(),
		...promptPartFigures(),
		...(await bookingFigures()),
		...(await pollingFigures()),
		...(await orderFigures()),
		...(await membershipFigures()),
	];
	for (const {name, value, unit} of figures) {
		process.stdout.write(`${name}: ${Number(value.toPrecision(4))} ${unit}\n`);
	}

	process.stdout.write(`${JSON.stringify({slopes: figures})}\n`);
});
