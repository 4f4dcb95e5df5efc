import process from 'node:process';
import {Agent, request} from 'undici';

/**
 * Callers and clock of the measurement of the relay's processor time for each token. Engine, relay
 * and callers are separate processes, for the bare pipe and the whole path alike; both run in the
 * same relay process, in turns.
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

/** Counters of the relay process. */
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
	for (let at = 1; at < data.length; at++) {
		if (data[at] === newline && data[at - 1] === newline) {
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

async function measure(port: number, count: number): Promise<Sample> {
	const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});
	const counts = {tokens: 0, open: 0};
	for (let index = 0; index < count; index++) {
		openStream(agent, port, counts);
	}

	for (;;) {
		await wait(pollMs);
		if (counts.open >= count) {
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

const rounded = (value: number) => Math.round(value * 100) / 100;

function summary(
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
		mean: rounded(mean),
		deviation: rounded(Math.sqrt(variance)),
		min: rounded(Math.min(...values)),
		max: rounded(Math.max(...values)),
	};
}

const microsPerToken = (sample: Sample) => sample.cpuMicros / sample.tokens;
const tokensPerChunk = (sample: Sample) => sample.tokens / sample.chunks;
const tokensPerSecond = (sample: Sample) => (sample.tokens / windowMs) * 1000;

const slopes = [];
for (const streams of streamCounts) {
	const bare: Sample[] = [];
	const whole: Sample[] = [];
	// Without a round before, the first window includes compilation and reads up to half higher.
	await measure(barePort, streams);
	await measure(wholePort, streams);
	for (let round = 0; round < rounds; round++) {
		// The order changes each round, so that a trend in the machine's load favors neither.
		const isBareFirst = round % 2 === 0;
		if (isBareFirst) {
			bare.push(await measure(barePort, streams));
		}

		whole.push(await measure(wholePort, streams));
		if (!isBareFirst) {
			bare.push(await measure(barePort, streams));
		}
	}

	slopes.push({
		streams,
		bareMicrosPerToken: summary(bare, microsPerToken),
		wholeMicrosPerToken: summary(whole, microsPerToken),
		ratio: summary(
			whole,
			(sample, round) => microsPerToken(sample) / microsPerToken(bare[round]),
		),
		bareTokensPerChunk: summary(bare, tokensPerChunk),
		wholeTokensPerChunk: summary(whole, tokensPerChunk),
		bareTokensPerSecond: summary(bare, tokensPerSecond),
		wholeTokensPerSecond: summary(whole, tokensPerSecond),
		wholeCoreShare: summary(
			whole,
			(sample) => sample.cpuMicros / windowMs / 1000,
		),
	});
}

process.stdout.write(`${JSON.stringify({relaySlopes: slopes})}\n`);
