import process from 'node:process';
import {request} from 'undici';
import {createPeerClient} from '../../adapters/peers/index.js';
import {callBooking, callGeneration} from '../callers/index.js';

const generations = 24;
const bookings = 20;
const bookingRepeats = 2;
const readyTimeoutMs = 15_000;
const faultDelayMs = 1500;
const pollMs = 100;

const wait = async (durationMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});

/** Ports and process ids that the demo's shell script hands over. */
type DemoPlan = {
	readonly entryUrls: readonly string[];
	readonly peerUrls: readonly string[];
	readonly serviceUrl: string;
	/** Process that is killed while it generates. */
	readonly enginePid: number;
	/** Process that is asked to stop while it relays. */
	readonly entryPid: number;
	readonly configVersion: number;
};

function readPlan(): DemoPlan {
	return JSON.parse(process.env.DEMO_PLAN ?? '{}') as DemoPlan;
}

async function waitReady(urls: readonly string[]): Promise<void> {
	const deadlineMs = performance.now() + readyTimeoutMs;
	for (const url of urls) {
		for (;;) {
			try {
				const response = await request(`${url}/readyz`);
				await response.body.dump();
				if (response.statusCode === 200) {
					break;
				}
			} catch {
				// Not listening yet.
			}

			if (performance.now() > deadlineMs) {
				throw new Error(`${url} did not become ready`);
			}

			await wait(pollMs);
		}
	}
}

async function run(plan: DemoPlan): Promise<void> {
	await waitReady(plan.entryUrls);
	const calls = Array.from({length: generations}, async (_, index) => {
		const delivery = (['whole', 'restartable'] as const)[index % 2];
		const urls = index % 4 < 2 ? plan.entryUrls : [...plan.entryUrls].reverse();
		return callGeneration({
			entryUrls: urls,
			token: 'finishers-token',
			model: 'inspector',
			prompt: `report on batch ${index} tokens=${150 + 20 * index}`,
			delivery,
			maxAttempts: 20,
		});
	});
	const booked = Array.from({length: bookings}, async (_, index) => {
		await wait(index * 100);
		return callBooking({
			entryUrls: plan.entryUrls,
			token: 'orders-token',
			service: 'kiln',
			repeats: bookingRepeats,
			maxAttempts: 20,
		});
	});
	await wait(faultDelayMs);
	process.kill(plan.enginePid, 'SIGKILL');
	await wait(faultDelayMs / 2);
	const statuses = await Promise.all(
		plan.peerUrls.map(async (url) =>
			createPeerClient({
				url,
				token: 'operator-token',
				timeoutMs: 2000,
			}).status.query(),
		),
	);
	process.kill(plan.entryPid, 'SIGTERM');
	const outcomes = await Promise.all(calls);
	const bookingOutcomes = await Promise.all(booked);
	const response = await request(`${plan.serviceUrl}/counts`);
	const counts = (await response.body.json()) as Record<string, number>;
	const report = {
		answersWhole: outcomes.filter((one) => one.isComplete).length,
		answersBroken: outcomes.filter((one) => !one.isComplete).length,
		restarts: outcomes.reduce((sum, one) => sum + one.restarts, 0),
		resumes: outcomes.reduce((sum, one) => sum + one.resumes, 0),
		bookingsOnce: bookingOutcomes.filter((one) => counts[one.key] === 1).length,
		bookingsTwice: Object.values(counts).filter((count) => count > 1).length,
		bookingsUnknown: bookingOutcomes.filter((one) => !one.isBooked).length,
		configVersionInForce: Math.min(
			...statuses.map((one) => one.configurationVersion),
		),
	};
	process.stdout.write(JSON.stringify(report) + '\n');
	const met =
		report.answersBroken === 0 &&
		report.bookingsTwice === 0 &&
		report.bookingsOnce === bookings &&
		report.configVersionInForce >= plan.configVersion;
	process.exitCode = met ? 0 : 1;
}

await run(readPlan());
