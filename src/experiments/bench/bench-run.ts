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

/** Parameters of one run. */
export type BenchRunOptions = {
	readonly deployment: Deployment;
	readonly seed: number;
	/** Request rate as a fraction of the capacity of the engines. */
	readonly load: number;
	/** Virtual time during which requests arrive. */
	readonly minutes: number;
	readonly createPolicy: (context: PolicyContext) => RoutingPolicy;
};

/** Result of one run; `finishedTokens` is printed but is not one of the compared figures. */
export type BenchRunResult = {
	readonly figures: PolicyFigures;
	readonly finishedTokens: number;
};

type RequestState = 'waiting' | 'sent' | 'started' | 'ended';

const minuteMs = 60_000;
// Time after the last arrival in which generations of ordinary length can finish.
const drainMinutes = 3;
const firstTokenDueMs = 310;
const policySeedOffset = 77;

/** Runs one policy on seeded arrivals in virtual time. Equal options give equal results. */
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
		firstTokenDueMs,
	);
	const states = new Map<BenchRequest, RequestState>();
	const targetIds = new Map<BenchRequest, string>();

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
		random: new SeededRandomSource(seed + policySeedOffset),
		descriptions: fleet.descriptions,
		floors,
		weights: deployment.weights,
		engineSimulations: fleet.engineSimulations,
		report: (targetId) => fleet.report(targetId),
		cacheEvents: (targetId, after) => fleet.cacheEvents(targetId, after),
		send(request, targetId, priority) {
			states.set(request, 'sent');
			targetIds.set(request, targetId);
			const {availabilityZone} = fleet.descriptions.get(targetId)!;
			const isSameZone =
				availabilityZone === zoneOf(deployment, request.vmIndex);
			time.after(isSameZone ? 0 : deployment.crossZoneLatencyMs, () => {
				if (states.get(request) === 'sent') {
					fleet.submit(targetId, request, priority);
				}
			});
		},
	});

	const cancelIfNotStarted = (request: BenchRequest) => {
		switch (states.get(request)) {
			case 'waiting': {
				states.set(request, 'ended');
				policy.withdrawn(request);
				break;
			}

			case 'sent': {
				states.set(request, 'ended');
				fleet.cancel(targetIds.get(request)!, request);
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
				cancelIfNotStarted(request);
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
