import process from 'node:process';
import {request} from 'undici';
import {
	type BookingCallOutcome,
	callBooking,
	callGeneration,
	type GenerationCallOutcome,
} from '../callers/index.js';

// Only the results of callers decide, not their speed: callers retry until they get a response, so
// often that they run out of attempts only if the response is lost.

const tableOutageMs = 30_000;
const pauseMs = 6000;
/** Time between faults, in milliseconds. */
const faultIntervalMs = 3000;
const generations = 60;
const bookings = 40;
const maxAttempts = 400;
const bookingRepeats = 2;
/** Time over which the calls start, in milliseconds. */
const arrivalSpreadMs = 30_000;

/** URLs and process ids that `scripts/process-check.sh` passes as JSON. */
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

/** Starts the list at another URL. */
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

/**
 * Injects faults during an outage of the table: an entry VM is killed, one is paused and resumed,
 * an engine is killed, and an entry VM is stopped.
 */
async function injectFaults(plan: Plan): Promise<void> {
	await wait(faultIntervalMs);
	await setTableDown(plan, true);
	const outage = wait(tableOutageMs);
	await wait(faultIntervalMs);
	process.kill(plan.killedPid, 'SIGKILL');
	await wait(faultIntervalMs);
	process.kill(plan.pausedPid, 'SIGSTOP');
	await wait(pauseMs);
	process.kill(plan.pausedPid, 'SIGCONT');
	await wait(faultIntervalMs);
	process.kill(plan.enginePid, 'SIGKILL');
	await wait(faultIntervalMs);
	process.kill(plan.stoppedPid, 'SIGTERM');
	await outage;
	await setTableDown(plan, false);
}

async function callGenerations(
	plan: Plan,
): Promise<readonly GenerationCallOutcome[]> {
	return Promise.all(
		Array.from({length: generations}, async (_, index) => {
			await wait((index * arrivalSpreadMs) / generations);
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

async function callBookings(
	plan: Plan,
): Promise<readonly BookingCallOutcome[]> {
	return Promise.all(
		Array.from({length: bookings}, async (_, index) => {
			await wait((index * arrivalSpreadMs) / bookings);
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
	const [, generationOutcomes, bookingOutcomes] = await Promise.all([
		injectFaults(plan),
		callGenerations(plan),
		callBookings(plan),
	]);
	const response = await request(`${plan.serviceUrl}/counts`);
	const counts = (await response.body.json()) as Record<string, number>;
	const report = {
		answersWhole: generationOutcomes.filter((one) => one.isComplete).length,
		answersBroken: generationOutcomes.filter((one) => !one.isComplete).length,
		restarts: generationOutcomes.reduce((sum, one) => sum + one.restarts, 0),
		resumes: generationOutcomes.reduce((sum, one) => sum + one.resumes, 0),
		bookingsOnce: bookingOutcomes.filter((one) => counts[one.key] === 1).length,
		bookingsTwice: Object.values(counts).filter((count) => count > 1).length,
		// Other bookings without success are not counted here, unlike in the demo.
		bookingsUnknown: bookingOutcomes.filter(
			(one) => one.problem === 'outcome-unknown',
		).length,
		refusedButRun: bookingOutcomes.filter(
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
