import {readFile} from 'node:fs/promises';
import process from 'node:process';
import type {Figure} from './types.js';

// Prints figures of processes as JSON. Arguments: a file with the output of relay-slopes.js, whose
// last line is read, then NAME=PID for each running process whose memory is read.

type Spread = {readonly mean: number; readonly deviation: number};

type RelaySlope = {
	readonly streams: number;
	readonly bareMicrosPerToken: Spread;
	readonly wholeMicrosPerToken: Spread;
	readonly ratio: Spread;
	readonly wholeCoreShare: Spread;
};

const kibibyte = 1024;
const bytesPerMegabyte = 1_000_000;

async function relayFigures(path: string): Promise<readonly Figure[]> {
	const text = await readFile(path, 'utf8');
	const {relaySlopes} = JSON.parse(text.trimEnd().split('\n').at(-1)!) as {
		relaySlopes: readonly RelaySlope[];
	};
	return relaySlopes.flatMap((slope) => {
		const at = `with ${slope.streams} streams`;
		return [
			{
				name: `bare pipe ${at}`,
				value: slope.bareMicrosPerToken.mean,
				unit: 'µs of processor time a token',
			},
			{
				name: `whole path ${at}`,
				value: slope.wholeMicrosPerToken.mean,
				unit: 'µs of processor time a token',
			},
			{
				name: `whole path over bare pipe ${at}`,
				value: slope.ratio.mean,
				unit: 'ratio',
			},
			{
				name: `share of a core ${at}`,
				value: slope.wholeCoreShare.mean,
				unit: 'ratio',
			},
		];
	});
}

async function memoryFigures(argument: string): Promise<readonly Figure[]> {
	const [name, pid] = argument.split('=');
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const readMegabytes = (field: string) =>
		(Number(new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(status)?.[1]) *
			kibibyte) /
		bytesPerMegabyte;
	return [
		{
			name: `resident memory of ${name}`,
			value: readMegabytes('VmRSS'),
			unit: 'MB',
		},
		{
			name: `private memory of ${name}`,
			value: readMegabytes('RssAnon'),
			unit: 'MB',
		},
	];
}

const [relayFile, ...processes] = process.argv.slice(2);
const memory = await Promise.all(
	processes.map(async (argument) => memoryFigures(argument)),
);
const figures = [...(await relayFigures(relayFile)), ...memory.flat()];
process.stdout.write(`${JSON.stringify(figures)}\n`);
