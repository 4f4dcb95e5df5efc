import process from 'node:process';
import {HttpEngine} from '../../adapters/targets/index.js';
import type {Figure} from './types.js';

const callCounts = [500, 2000, 4000];
const concurrency = 16;

async function callMany(engine: HttpEngine, count: number): Promise<void> {
	let left = count;
	const work = async () => {
		while (left > 0) {
			left--;
			await engine.loadReport();
		}
	};

	await Promise.all(Array.from({length: concurrency}, work));
}

/**
 * Measures the processor time of reading a load report on the reader's side.
 * @param url - base URL of an engine that runs in another process
 */
export async function loadReportFigures(
	url: string,
): Promise<readonly Figure[]> {
	const engine = new HttpEngine({
		id: 'measured',
		kind: 'engine',
		url,
		availabilityZone: 'zone-1',
		models: [],
		service: '',
		fencing: 'ignores',
		answersOutcomes: false,
	});
	// The first calls include compilation.
	await callMany(engine, callCounts[0]);
	const figures: Figure[] = [];
	for (const count of callCounts) {
		const before = process.cpuUsage();
		await callMany(engine, count);
		const {user, system} = process.cpuUsage(before);
		figures.push({
			name: `reading a load report, ${count} calls`,
			value: (user + system) / count,
			unit: 'µs of processor time',
		});
	}

	return figures;
}
