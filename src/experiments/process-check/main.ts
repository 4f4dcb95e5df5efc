import process from 'node:process';
import {request} from 'undici';
import {
	type BookingCallOutcome,
	callBooking,
	callGeneration,
	type GenerationCallOutcome,
} from '../callers/index.js';

// Every verdict is about what callers were given, never about how fast: callers repeat until they
// are answered, up to a number of connections that only a lost answer exhausts.

const tableOutageMs = 30_000;
const pauseMs = 6000;
const stepMs = 3000;
const generations = 60;
const bookings = 40;
const maxAttempts = 400;
const bookingRepeats = 2;
const spreadMs = 30_000;

type Plan = {
	readonly entryUrls: readonly string[];
	readonly platformUrl: string;
	readonly serviceUrl: string;
	readonly enginePid: number;
	readonly killedPid: number;
	readonly pausedPid: number;
	readonly stoppedPid: number;
};

const wait = async (durationMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});

const rotate = (urls: readonly string[], by: number) => {
	const first = by % urls.length;
	return [...urls.slice(first), ...urls.slice(0, first)];
};

async function setTableDown(plan: Plan, tableDown: boolean): Promise<void> {
	const response = await request(`${plan.platformUrl}/faults`, {
		method: 'PUT',
		body: JSON.stringify({tableDown}),
	});
	await response.body.dump();
}

async function injectFaults(plan: Plan): Promise<void> {
	await wait(stepMs);
	await setTableDown(plan, true);
	const outageEnd = wait(tableOutageMs);
	await wait(stepMs);
	process.kill(plan.killedPid, 'SIGKILL');
	await wait(stepMs);
	process.kill(plan.pausedPid, 'SIGSTOP');
	await wait(pauseMs);
	process.kill(plan.pausedPid, 'SIGCONT');
	await wait(stepMs);
	process.kill(plan.enginePid, 'SIGKILL');
	await wait(stepMs);
	process.kill(plan.stoppedPid, 'SIGTERM');
	await outageEnd;
	await setTableDown(plan, false);
}

async function startGenerations(
	plan: Plan,
): Promise<readonly GenerationCallOutcome[]> {
	return Promise.all(
		Array.from({length: generations}, async (_, index) => {
			await wait((index * spreadMs) / generations);
			return callGeneration({
				entryUrls: rotate(plan.entryUrls, index),
				token: 'finishers-token',
				model: 'inspector',
				prompt: `report on batch ${index} tokens=${50 + 10 * index}`,
				delivery: (['whole', 'restartable'] as const)[index % 2],
				maxAttempts,
			});
		}),
	);
}

async function startBookings(
	plan: Plan,
): Promise<readonly BookingCallOutcome[]> {
	return Promise.all(
		Array.from({length: bookings}, async (_, index) => {
			await wait((index * spreadMs) / bookings);
			return callBooking({
				entryUrls: rotate(plan.entryUrls, index),
				token: 'orders-token',
				service: 'kiln',
				repeats: bookingRepeats,
				maxAttempts,
			});
		}),
	);
}

async function run(plan: Plan): Promise<void> {
	const [, answers, booked] = await Promise.all([
		injectFaults(plan),
		startGenerations(plan),
		startBookings(plan),
	]);
	const response = await request(`${plan.serviceUrl}/counts`);
	const counts = (await response.body.json()) as Record<string, number>;
	const report = {
		answersWhole: answers.filter((one) => one.isComplete).length,
		answersBroken: answers.filter((one) => !one.isComplete).length,
		restarts: answers.reduce((sum, one) => sum + one.restarts, 0),
		resumes: answers.reduce((sum, one) => sum + one.resumes, 0),
		bookingsOnce: booked.filter((one) => counts[one.key] === 1).length,
		bookingsTwice: Object.values(counts).filter((count) => count > 1).length,
		bookingsUnknown: booked.filter((one) => one.problem === 'outcome-unknown')
			.length,
		refusedButRun: booked.filter(
			(one) => one.problem === 'not-run' && counts[one.key] > 0,
		).length,
	};
	process.stdout.write(`${JSON.stringify(report)}\n`);
	process.exitCode =
		report.answersBroken + report.bookingsTwice + report.refusedButRun === 0
			? 0
			: 1;
}

await run(JSON.parse(process.env.PROCESS_CHECK_PLAN ?? '{}') as Plan);
