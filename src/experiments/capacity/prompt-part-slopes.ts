import {SeededRandomSource} from '../../common/index.js';
import {
	decodeFleetMessage,
	encodeFleetMessage,
	type FleetMessage,
} from '../../decisions/fleet/index.js';
import {
	createCrashEvidence,
	createPromptQuarantine,
	type PartReport,
} from '../../decisions/quarantine/index.js';
import {createServiceStandings} from '../../decisions/serving/index.js';
import {
	createEvacuatedZones,
	createTargetEligibility,
} from '../../decisions/target-eligibility/index.js';
import {createTargetStatements} from '../../decisions/target-statements/index.js';
import {fakeTargetEntry} from '../fakes/index.js';
import {measureMicros, SteppedClock} from './measure-micros.js';
import type {Figure} from './types.js';

const suspectedPartCounts = [0, 1, 10];
const targetCounts = [10, 43, 257];
const crashesPerPart = 6;
/** Time between two crashes under a part, in milliseconds. */
const crashGapMs = 400;
const microsecondsPerMillisecond = 1000;

const partId = (index: number) => `5c1e07a2${String(index).padStart(4, '0')}`;

/** Evidence in which engines have ended under some parts. */
function createEvidence(clock: SteppedClock, partCount: number) {
	const evidence = createCrashEvidence(clock);
	for (let crash = 0; crash < crashesPerPart; crash++) {
		const sentMs = clock.timeMs;
		clock.timeMs += crashGapMs;
		for (let part = 0; part < partCount; part++) {
			const engine = `i-${part}-${crash}@1765000000000`;
			evidence.recordCrash(
				engine,
				[{partId: partId(part), sentMs, eventCount: 0}],
				clock.timeMs,
			);
		}
	}

	return evidence;
}

/** Cost of the decision on one request, by the number of suspected parts; the request has none of them. */
function decisionFigure(partCount: number): Figure {
	const clock = new SteppedClock();
	const evidence = createEvidence(clock, 0);
	const quarantine = createPromptQuarantine({
		clock,
		evidence,
		vmCount: () => 1,
		trialOrder: 0,
	});
	for (const report of createEvidence(clock, partCount).reports(-Infinity)) {
		evidence.recordReport(report);
	}

	const parts = ['shared', 'subject', 'own'];
	return {
		name: `decision on a request with ${partCount} prompt parts suspected`,
		value: measureMicros(() => {
			quarantine.decide(parts);
		}),
		unit: 'µs of processor time',
	};
}

/** Cost and size of the message that tells a VM of the crashes under prompt parts. */
function messageFigures(partCount: number): readonly Figure[] {
	const clock = new SteppedClock();
	const reports: readonly PartReport[] = createEvidence(
		clock,
		partCount,
	).reports(-Infinity);
	const message: FleetMessage = {kind: 'crash-evidence', reports};
	const text = encodeFleetMessage(message);
	const evidence = createCrashEvidence(clock);
	const micros = measureMicros(() => {
		const received = decodeFleetMessage(JSON.parse(text));
		for (const report of received.kind === 'crash-evidence'
			? received.reports
			: []) {
			evidence.recordReport(report);
		}
	});
	return [
		{
			name: `message with ${crashesPerPart} crashes under each of ${partCount} prompt parts, received`,
			value: micros / microsecondsPerMillisecond,
			unit: 'ms of processor time',
		},
		{
			name: `message with ${crashesPerPart} crashes under each of ${partCount} prompt parts`,
			value: text.length,
			unit: 'bytes',
		},
	];
}

/** Cost of asking how the targets of a service may be used, by their number. */
function standingsFigure(targetCount: number): Figure {
	const clock = new SteppedClock();
	const targets = Array.from({length: targetCount}, (_, index) => ({
		entry: {...fakeTargetEntry(`i-${index}`), bornMs: 1_765_000_000_000},
		firstSeenMs: 0,
	}));
	const standings = createServiceStandings({
		directory: {usable: () => targets},
		eligibility: createTargetEligibility({
			statements: createTargetStatements({clock, lastResortMs: () => 1000}),
			evacuatedZones: createEvacuatedZones(),
			coldTargets: {limitOf: () => undefined},
			regions: new Map([
				['zone-1', 'region-1'],
				['zone-2', 'region-2'],
			]),
		}),
		random: new SeededRandomSource(1),
	});
	return {
		name: `targets left out, asked for one of ${targetCount} targets`,
		value: measureMicros(() => {
			standings.leftOutIds('model', undefined);
		}),
		unit: 'µs of processor time',
	};
}

/** Measures what suspected prompt parts and the statements of targets cost the VMs. */
export function promptPartFigures(): readonly Figure[] {
	return [
		...suspectedPartCounts.map((count) => decisionFigure(count)),
		...suspectedPartCounts
			.filter((count) => count > 0)
			.flatMap((count) => messageFigures(count)),
		...targetCounts.map((count) => standingsFigure(count)),
	];
}
