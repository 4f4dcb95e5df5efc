import {SeededRandomSource} from '../../../common/index.js';
import {
	chooseServiceTarget,
	serviceCandidates,
} from '../../../decisions/serving/index.js';
import type {FleetMessage, MemberInfo} from '../../../decisions/fleet/index.js';
import {
	fakeTargetEntry,
	VirtualTime,
} from '../../../experiments/fakes/index.js';
import {startTargetHealthExchange} from '../target-health-exchange.js';
import {createTargetHealth} from '../target-health.js';
import type {
	TargetFleetOptions,
	TargetFleetResult,
} from './target-fleet-types.js';

const callsPerSecond = 80;
const idempotentFraction = 33 / 80;
/** Fraction of the idempotent calls that fail wherever they run. */
const commonFailureFraction = 0.14;
const serviceMs = 21.4;
const slotCount = 6;
const timeLimitMs = 1500;
const hedgeMs = 250;
const memberTimeoutMs = 2500;
const lateMs = 500;

type Call = {
	readonly isIdempotent: boolean;
	readonly failsAnywhere: boolean;
	readonly tried: Set<string>;
	openCount: number;
	isDone: boolean;
};

/**
 * Replays the calls of a fleet to one plain service, with the health exchange of every VM as deployed. Only
 * the network, the targets and the sending of calls are simulated.
 */
export async function replayTargetFleet(
	options: TargetFleetOptions,
): Promise<TargetFleetResult> {
	const {vmCount, targetCount = 3, durationMs} = options;
	const {lossShare = 0, lateShare = 0, isExchanging = true} = options;
	const {coordinatorEndsMs = Infinity} = options;
	const time = new VirtualTime();
	const random = new SeededRandomSource(options.seed);
	const zoneOf = (index: number) => `zone-${(index % 3) + 1}`;
	const entries = Array.from({length: targetCount}, (_, index) =>
		fakeTargetEntry(`s${index}`, {availabilityZone: zoneOf(index)}),
	);
	const result: TargetFleetResult = {
		callCount: 0,
		lostOther: 0,
		lostIdempotent: 0,
		retryCount: 0,
		messageCount: 0,
		sentMs: entries.map(() => []),
		avoidances: [],
	};
	const slotFreeMs = entries.map(() =>
		Array.from({length: slotCount}, () => 0),
	);
	const hasEnded = (vm: number) =>
		vm === 0 && time.nowMs() >= coordinatorEndsMs;
	const rankedVms = () =>
		time.nowMs() >= coordinatorEndsMs + memberTimeoutMs ? [1, 2] : [0, 1];
	const infoOf = (vm: number): MemberInfo => ({
		address: String(vm),
		availabilityZone: zoneOf(vm),
		instanceId: 'i',
		cpuMsPerSecond: 1000,
		storeReadState: 'idle',
	});

	const deliver = (from: number, to: number, message: FleetMessage) => {
		result.messageCount++;
		if (!isExchanging || random.nextUnit() < lossShare) {
			return;
		}

		const extraMs = random.nextUnit() < lateShare ? lateMs : 0;
		time.after(0.5 + random.nextUnit() + extraMs, () => {
			const isHealthMessage =
				message.kind === 'target-report' || message.kind === 'avoided-targets';
			if (isHealthMessage && !hasEnded(to)) {
				vms[to].exchange.handle(String(from), message);
			}
		});
	};

	const logger = {warn: () => undefined as never};
	const createVm = (vm: number) => {
		const health = createTargetHealth(time, random, logger);
		health.detector.setTargets(
			'desk',
			entries.map(({id}) => id),
		);
		const exchange = startTargetHealthExchange({
			clock: time,
			timers: time,
			address: String(vm),
			members: {
				get coordinator() {
					return infoOf(rankedVms()[0]);
				},
				coordinatorAndStandby: () => rankedVms().map((rank) => infoOf(rank)),
				peerAddresses: () =>
					Array.from({length: vmCount}, (_, peer) => String(peer)).filter(
						(peer) => peer !== String(vm),
					),
			},
			observer: health.observer,
			avoidedTargets: health.avoidedTargets,
			serviceOf: () => 'desk',
			send(to, message) {
				if (!hasEnded(vm)) {
					deliver(vm, Number(to), message);
				}
			},
			onError(error) {
				throw error;
			},
		});
		return {health, exchange, openCounts: new Map<string, number>()};
	};

	const vms = Array.from({length: vmCount}, (_, vm) => createVm(vm));
	const owned = vms.map(({exchange}) => exchange);
	vms[vmCount > 1 ? 1 : 0].health.avoidedTargets.onChanged((change) => {
		result.avoidances.push({...change, atMs: time.nowMs()});
	});

	const endCall = (call: Call, isAnswered: boolean) => {
		if (call.isDone) {
			return;
		}

		call.isDone = true;
		if (!isAnswered && !call.failsAnywhere) {
			if (call.isIdempotent) {
				result.lostIdempotent++;
			} else {
				result.lostOther++;
			}
		}
	};

	/** Time at which a target has run a call that it gets now, in milliseconds. */
	const runAt = (target: number) => {
		const free = slotFreeMs[target];
		const slot = free.indexOf(Math.min(...free));
		const startMs = Math.max(time.nowMs(), free[slot]);
		free[slot] = startMs + serviceMs * (0.7 + 0.6 * random.nextUnit());
		return free[slot];
	};

	const outcomeOf = (call: Call, target: number) => {
		const behavior = options.behaviorOf(target, time.nowMs(), random);
		if (behavior === 'hang') {
			return {afterMs: timeLimitMs, isAnswered: false};
		}

		if (behavior === 'reset') {
			return {afterMs: 3, isAnswered: false};
		}

		return {
			afterMs: runAt(target) - time.nowMs() + 2,
			isAnswered: behavior === 'answer' && !call.failsAnywhere,
		};
	};

	const send = (vm: number, call: Call) => {
		const {health, openCounts} = vms[vm];
		const chosen = chooseServiceTarget(
			serviceCandidates(
				{
					service: 'desk',
					allowedRegions: undefined,
					avoid: call.tried,
					isIdempotent: call.isIdempotent,
				},
				'normal',
				{
					...health,
					standings: {withUse: () => entries},
					openCount: (id) => openCounts.get(id) ?? 0,
				},
			),
			zoneOf(vm),
			call.tried,
			random,
		);
		if (!chosen) {
			return;
		}

		const target = entries.findIndex(({id}) => id === chosen.targetId);
		const {id} = entries[target];
		const sentMs = time.nowMs();
		call.tried.add(id);
		call.openCount++;
		result.sentMs[target].push(sentMs);
		health.detector.recordSent(id);
		const observed = health.observer.observe(
			entries[target],
			call.isIdempotent,
			health.avoidedTargets.isAvoided(id),
		);
		openCounts.set(id, (openCounts.get(id) ?? 0) + 1);
		const {afterMs, isAnswered} = outcomeOf(call, target);
		time.after(afterMs, () => {
			openCounts.set(id, (openCounts.get(id) ?? 0) - 1);
			call.openCount--;
			if (call.isDone) {
				observed.dispose();
				return;
			}

			health.detector.recordResult('desk', id, isAnswered, afterMs);
			observed.recordOutcome(isAnswered, afterMs);
			if (isAnswered) {
				endCall(call, true);
			} else if (call.openCount === 0) {
				retryOrEnd(vm, call);
			}
		});
	};

	const retryOrEnd = (vm: number, call: Call) => {
		if (call.isIdempotent && call.tried.size === 1) {
			result.retryCount++;
			send(vm, call);
		} else {
			endCall(call, false);
		}
	};

	const arrive = () => {
		result.callCount++;
		const vm = Math.floor(random.nextUnit() * vmCount);
		const isIdempotent =
			options.hasIdempotentCalls !== false &&
			random.nextUnit() < idempotentFraction;
		const call: Call = {
			isIdempotent,
			failsAnywhere: isIdempotent && random.nextUnit() < commonFailureFraction,
			tried: new Set(),
			openCount: 0,
			isDone: false,
		};
		send(hasEnded(vm) ? 1 : vm, call);
		time.after(timeLimitMs, () => {
			endCall(call, false);
		});
		time.after(hedgeMs, () => {
			if (!call.isDone && call.tried.size === 1) {
				retryOrEnd(vm, call);
			}
		});
	};

	const arriveLater = () => {
		const gapMs = (-Math.log(1 - random.nextUnit()) / callsPerSecond) * 1000;
		time.after(gapMs, () => {
			arrive();
			arriveLater();
		});
	};

	arriveLater();
	await time.runUntil(durationMs);
	for (const exchange of owned) {
		exchange.dispose();
	}

	return result;
}
