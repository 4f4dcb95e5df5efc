import {SeededRandomSource} from '../../common/index.js';
import {
	type BenchRequest,
	capacityOf,
	createArrivals,
	floorsOf,
} from './arrivals.js';
import {createContractCompliance} from './contract-compliance.js';
import type {Deployment} from './deployments.js';
import {EventQueue} from './event-queue.js';
import {createFleet, zoneOf} from './fleet.js';
import {createMeasurements, type PolicyFigures} from './measurements.js';
import type {PolicyContext, RoutingPolicy} from './routing-policy.js';

/** A run of one policy. */
export type BenchRunOptions = {
	readonly deployment: Deployment;
	readonly seed: number;
	/** Part of what the engines can carry. */
	readonly load: number;
	/** Time in which requests arrive, in minutes. */
	readonly minutes: number;
	readonly createPolicy: (context: PolicyContext) => RoutingPolicy;
};

/** Figures of a run, and some that only serve its examination. */
export type BenchRunResult = {
	readonly figures: PolicyFigures;
	readonly finishedTokens: number;
};

type RequestState = 'waiting' | 'sent' | 'started' | 'ended';

const minuteMs = 60_000;
// After the last arrival, answers of ordinary length get time to end.
const drainMinutes = 3;
const firstTokenLimitMs = 310;
const randomOffset = 77;

/** Runs one policy on seeded arrivals in virtual time. */
export function runBench(options: BenchRunOptions): BenchRunResult {
	const {deployment, seed, load, minutes} = options;
	const time = new EventQueue();
	const arrivals = createArrivals(deployment, seed, load, minutes * minuteMs);
	const capacity = capacityOf(deployment);
	const floors = floorsOf(deployment, capacity);
	const measurements = createMeasurements();
	const contractCompliance = createContractCompliance(
		minutes,
		capacity.tokenIntervalMs,
		firstTokenLimitMs,
	);
	const states = new Map<BenchRequest, RequestState>();
	const targets = new Map<BenchRequest, string>();

	const fleet = createFleet({
		deployment,
		time,
		measurements,
		contractCompliance,
		listener: {
			onProgress(request, producedTokens) {
				states.set(request, 'started');
				policy.progressed(request, producedTokens);
			},
			onFinished(request) {
				states.set(request, 'ended');
				policy.ended(request, 'finished');
			},
		},
	});
	const policy = options.createPolicy({
		deployment,
		time,
		random: new SeededRandomSource(seed + randomOffset),
		descriptions: fleet.descriptions,
		floors,
		weights: deployment.weights,
		engineSimulations: fleet.engineSimulations,
		report: (targetId) => fleet.report(targetId),
		cacheEvents: (targetId, after) => fleet.cacheEvents(targetId, after),
		send(request, targetId, priority) {
			states.set(request, 'sent');
			targets.set(request, targetId);
			const {availabilityZone} = fleet.descriptions.get(targetId)!;
			const near = availabilityZone === zoneOf(deployment, request.vmIndex);
			time.after(near ? 0 : deployment.crossZoneLatencyMs, () => {
				if (states.get(request) === 'sent') {
					fleet.submit(targetId, request, priority);
				}
			});
		},
	});

	const giveUp = (request: BenchRequest) => {
		switch (states.get(request)) {
			case 'waiting': {
				states.set(request, 'ended');
				policy.withdrawn(request);
				break;
			}

			case 'sent': {
				states.set(request, 'ended');
				fleet.cancel(targets.get(request)!, request);
				policy.ended(request, 'cancelled');
				break;
			}

			case 'started':
			case 'ended':
			case undefined: {
				break;
			}
		}
	};

	for (const request of arrivals) {
		time.after(request.arrivalMs, () => {
			states.set(request, 'waiting');
			time.after(request.queueTimeoutMs, () => {
				giveUp(request);
			});
			policy.submit(request);
		});
	}

	time.runUntil((minutes + drainMinutes) * minuteMs);
	return {
		figures: measurements.computeFigures(
			arrivals.length,
			deployment.weights,
			contractCompliance.worstMinuteRatio(arrivals, floors),
		),
		finishedTokens: measurements.finishedTokens,
	};
}
