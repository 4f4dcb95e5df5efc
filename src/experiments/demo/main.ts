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

/** URLs and process ids, which `scripts/demo.sh` passes as JSON in `DEMO_PLAN`. */
type DemoPlan = {
	readonly entryUrls: readonly string[];
	readonly peerUrls: readonly string[];
	readonly serviceUrl: string;
	/** Engine that is killed while it generates. */
	readonly enginePid: number;
	/** Entry VM that gets SIGTERM while it relays generations. */
	readonly entryPid: number;
	/** Configuration version that must be in force before the entry VM is stopped. */
	readonly configVersion: number;
};

function readPlan(): DemoPlan {
	return JSON.parse(process.env.DEMO_PLAN ?? '{}') as DemoPlan;
}

async function waitUntilReady(urls: readonly string[]): Promise<void> {
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
				// The VM does not listen yet.
			}

			if (performance.now() > deadlineMs) {
				throw new Error(`${url} did not become ready`);
			}

			await wait(pollMs);
		}
	}
}

/** Runs generations and bookings, kills an engine and stops an entry VM, and prints a report. */
async function run(plan: DemoPlan): Promise<void> {
	await waitUntilReady(plan.entryUrls);
	const generationCalls = Array.from(
		{length: generations},
		async (_, index) => {
			const delivery = (['whole', 'restartable'] as const)[index % 2];
			const urls =
				index % 4 < 2 ? plan.entryUrls : [...plan.entryUrls].reverse();
			return callGeneration({
				entryUrls: urls,
				token: 'finishers-token',
				model: 'inspector',
				prompt: `report on batch ${index} tokens=${150 + 20 * index}`,
				delivery,
				maxAttempts: 20,
			});
		},
	);
	const bookingCalls = Array.from({length: bookings}, async (_, index) => {
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
	const generationOutcomes = await Promise.all(generationCalls);
	const bookingOutcomes = await Promise.all(bookingCalls);
	const response = await request(`${plan.serviceUrl}/counts`);
	const counts = (await response.body.json()) as Record<string, number>;
	const report = {
		answersWhole: generationOutcomes.filter((one) => one.isComplete).length,
		answersBroken: generationOutcomes.filter((one) => !one.isComplete).length,
		restarts: generationOutcomes.reduce((sum, one) => sum + one.restarts, 0),
		resumes: generationOutcomes.reduce((sum, one) => sum + one.resumes, 0),
		bookingsOnce: bookingOutcomes.filter((one) => counts[one.key] === 1).length,
		bookingsTwice: Object.values(counts).filter((count) => count > 1).length,
		// All bookings without success, whatever the reason.
		bookingsUnknown: bookingOutcomes.filter((one) => !one.isBooked).length,
		configVersionInForce: Math.min(
			...statuses.map((one) => one.configurationVersion),
		),
	};
	process.stdout.write(JSON.stringify(report) + '\n');
	const isPassed =
		report.answersBroken === 0 &&
		report.bookingsTwice === 0 &&
		report.bookingsOnce === bookings &&
		report.configVersionInForce >= plan.configVersion;
	process.exitCode = isPassed ? 0 : 1;
}

await run(readPlan());
