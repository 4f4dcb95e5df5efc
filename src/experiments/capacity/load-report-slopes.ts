import process from 'node:process';
import {HttpEngine} from '../../adapters/targets/index.js';
import type {Figure} from './types.js';

const callCounts = [500, 2000, 4000];
const concurrency = 16;

async function readReports(engine: HttpEngine, count: number): Promise<void> {
	let remaining = count;
	const readUntilDone = async () => {
		while (remaining > 0) {
			remaining--;
			await engine.loadReport();
		}
	};

	await Promise.all(Array.from({length: concurrency}, readUntilDone));
}

/**
 * Measures the processor time that reading a load report takes in the process of the client.
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
	// Warm-up: the first calls include the compilation of the code.
	await readReports(engine, callCounts[0]);
	const figures: Figure[] = [];
	for (const count of callCounts) {
		const cpuBefore = process.cpuUsage();
		await readReports(engine, count);
		const {user, system} = process.cpuUsage(cpuBefore);
		figures.push({
			name: `reading a load report, ${count} calls`,
			value: (user + system) / count,
			unit: 'µs of processor time',
		});
	}

	return figures;
}
