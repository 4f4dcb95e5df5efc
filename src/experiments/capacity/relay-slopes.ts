import process from 'node:process';
import {Agent, request} from 'undici';

/**
 * Measures the processor time of the relay for each token, for the bare pipe and for the whole path.
 * This process holds the callers and times the windows; engine and relay are processes of their own.
 * Both paths run in the same relay process, one at a time.
 */
const [barePort, wholePort, rounds, warmUpMs, windowMs, ...chosenCounts] =
	process.argv.slice(2).map(Number);
const streamCounts =
	chosenCounts.length > 0 ? chosenCounts : [100, 500, 1000, 2000];
const newline = 10;
const pollMs = 20;
const settleMs = 200;
const body = JSON.stringify({
	model: 'model',
	prompt: 'p',
	stream: true,
	delivery: 'restartable',
});

/** Counters of the relay process since its start. */
type RelayCounters = {readonly cpuMicros: number; readonly chunks: number};
type Sample = RelayCounters & {readonly tokens: number};

const wait = async (durationMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});

async function relayCounters(): Promise<RelayCounters> {
	const response = await request(`http://127.0.0.1:${barePort}/counters`);
	return (await response.body.json()) as RelayCounters;
}

function countEvents(data: Uint8Array): number {
	let count = 0;
	for (let index = 1; index < data.length; index++) {
		if (data[index] === newline && data[index - 1] === newline) {
			count++;
		}
	}

	return count;
}

function openStream(
	agent: Agent,
	port: number,
	counts: {tokens: number; open: number},
): void {
	agent.dispatch(
		{
			origin: `http://127.0.0.1:${port}`,
			path: '/v1/completions',
			method: 'POST',
			headers: {authorization: 'Bearer token'},
			body,
		},
		{
			onRequestStart: () => undefined,
			onResponseStart() {
				counts.open++;
			},
			onResponseData(_controller, data) {
				counts.tokens += countEvents(data);
			},
			onResponseEnd: () => undefined,
			onResponseError: () => undefined,
		},
	);
}

async function measureWindow(
	port: number,
	streamCount: number,
): Promise<Sample> {
	const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});
	const counts = {tokens: 0, open: 0};
	for (let index = 0; index < streamCount; index++) {
		openStream(agent, port, counts);
	}

	for (;;) {
		await wait(pollMs);
		if (counts.open >= streamCount) {
			break;
		}
	}

	await wait(warmUpMs);
	const tokensBefore = counts.tokens;
	const before = await relayCounters();
	await wait(windowMs);
	const after = await relayCounters();
	const sample = {
		cpuMicros: after.cpuMicros - before.cpuMicros,
		chunks: after.chunks - before.chunks,
		tokens: counts.tokens - tokensBefore,
	};
	await agent.destroy();
	await wait(settleMs);
	return sample;
}

const roundToHundredths = (value: number) => Math.round(value * 100) / 100;

function summarize(
	samples: readonly Sample[],
	figureOf: (sample: Sample, round: number) => number,
) {
	const values = samples.map((sample, round) => figureOf(sample, round));
	const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
	const squares = values.map((value) => (value - mean) ** 2);
	const variance =
		squares.reduce((sum, square) => sum + square, 0) /
		Math.max(1, values.length - 1);
	return {
		mean: roundToHundredths(mean),
		deviation: roundToHundredths(Math.sqrt(variance)),
		min: roundToHundredths(Math.min(...values)),
		max: roundToHundredths(Math.max(...values)),
	};
}

const microsPerToken = (sample: Sample) => sample.cpuMicros / sample.tokens;
const tokensPerChunk = (sample: Sample) => sample.tokens / sample.chunks;
const tokensPerSecond = (sample: Sample) => (sample.tokens / windowMs) * 1000;

const slopes = [];
for (const streams of streamCounts) {
	const bare: Sample[] = [];
	const whole: Sample[] = [];
	// Warm-up round: otherwise the first window includes compilation and is up to 50% too high.
	await measureWindow(barePort, streams);
	await measureWindow(wholePort, streams);
	for (let round = 0; round < rounds; round++) {
		// The order alternates, so that a trend in the load of the machine favors neither path.
		const isBareFirst = round % 2 === 0;
		if (isBareFirst) {
			bare.push(await measureWindow(barePort, streams));
		}

		whole.push(await measureWindow(wholePort, streams));
		if (!isBareFirst) {
			bare.push(await measureWindow(barePort, streams));
		}
	}

	slopes.push({
		streams,
		bareMicrosPerToken: summarize(bare, microsPerToken),
		wholeMicrosPerToken: summarize(whole, microsPerToken),
		ratio: summarize(
			whole,
			(sample, round) => microsPerToken(sample) / microsPerToken(bare[round]),
		),
		bareTokensPerChunk: summarize(bare, tokensPerChunk),
		wholeTokensPerChunk: summarize(whole, tokensPerChunk),
		bareTokensPerSecond: summarize(bare, tokensPerSecond),
		wholeTokensPerSecond: summarize(whole, tokensPerSecond),
		wholeCoreShare: summarize(
			whole,
			(sample) => sample.cpuMicros / windowMs / 1000,
		),
	});
}

process.stdout.write(`${JSON.stringify({relaySlopes: slopes})}\n`);
