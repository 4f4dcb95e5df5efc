import process from 'node:process';
import {Agent, request} from 'undici';

/**
 * Callers and clock of the measurement of the relay's processor time for each token. Engine, relay
 * and callers are separate processes, for the bare pipe and the whole path alike; both run in the
 * same relay process, in turns.
 */
const [barePort, wholePort, rounds, warmUpMs, windowMs] = process.argv
	.slice(2)
	.map(Number);
const streamCounts = [100, 500, 1000, 2000];
const newline = 10;
const pollMs = 20;
const settleMs = 200;
const body = JSON.stringify({
	model: 'model',
	prompt: 'p',
	stream: true,
	delivery: 'restartable',
});

type Sample = {readonly cpuMicros: number; readonly tokens: number};

const wait = async (durationMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});

async function cpuMicros(): Promise<number> {
	const response = await request(`http://127.0.0.1:${barePort}/cpu`);
	return Number(await response.body.text());
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
	const cpuBefore = await cpuMicros();
	await wait(windowMs);
	const sample = {
		cpuMicros: (await cpuMicros()) - cpuBefore,
		tokens: counts.tokens - tokensBefore,
	};
	await agent.destroy();
	await wait(settleMs);
	return sample;
}

const median = (values: readonly number[]) =>
	[...values].sort((first, second) => first - second)[
		Math.floor(values.length / 2)
	];
const rounded = (value: number) => Math.round(value * 100) / 100;

const slopes = [];
for (const streams of streamCounts) {
	const bare: number[] = [];
	const whole: number[] = [];
	const ratios: number[] = [];
	const rates: number[] = [];
	for (let round = 0; round < rounds; round++) {
		const pipe = await measure(barePort, streams);
		const path = await measure(wholePort, streams);
		bare.push(pipe.cpuMicros / pipe.tokens);
		whole.push(path.cpuMicros / path.tokens);
		ratios.push(whole.at(-1)! / bare.at(-1)!);
		rates.push((path.tokens / windowMs) * 1000);
	}

	slopes.push({
		streams,
		bareMicrosPerToken: rounded(median(bare)),
		wholeMicrosPerToken: rounded(median(whole)),
		ratio: rounded(median(ratios)),
		tokensPerSecond: Math.round(median(rates)),
		wholeCoreShare: rounded((median(whole) * median(rates)) / 1_000_000),
	});
}

process.stdout.write(`${JSON.stringify({relaySlopes: slopes})}\n`);
