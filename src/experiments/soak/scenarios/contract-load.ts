import {
	type Contract,
	type RandomSource,
	toProblem,
} from '../../../common/index.js';
import {
	minuteOf,
	type TokenReservation,
} from '../../../decisions/contracts/index.js';
import type {FleetVm} from '../../fakes/index.js';
import type {SoakContext} from '../soak-scenario.js';
import {createDeliveryRecord} from './delivery-record.js';

/** Simulated load: generations of a few client accounts that share a limited capacity of engines. */
export type ContractLoad = {
	/** Starts new generations and produces the tokens of one second; call once a second. */
	step(): void;
	/** Tokens delivered to an account in the current minute up to a time, by all VMs or all but `exceptVm`. */
	deliveredTokens(account: string, untilMs: number, exceptVm?: string): number;
	/** Like `deliveredTokens`, without what VMs delivered while faulty or just before they were killed. */
	reportedTokens(account: string, untilMs: number, exceptVm: string): number;
	/** Drops the open generations of a killed VM, and marks its latest deliveries as unreported. */
	dropGenerationsOf(vm: FleetVm): void;
};

type OpenGeneration = {
	readonly vm: FleetVm;
	/** Ledger of the VM when the generation began; a restarted VM has another one. */
	readonly ledger: FleetVm['node']['ledger'];
	readonly account: string;
	readonly reservation: TokenReservation;
	remainingTokens: number;
};

/**
 * Contracts by client account: `flood` sends many requests through every VM, `steady` sends few, and the
 * requests of `uneven` all arrive at one VM, another one each minute.
 */
export const loadContracts: Readonly<Record<string, Contract>> = {
	flood: {
		floorTokensPerMinute: 3000,
		ceilingTokensPerMinute: 12_000,
		shareWeight: 1,
	},
	steady: {
		floorTokensPerMinute: 3000,
		ceilingTokensPerMinute: 30_000,
		shareWeight: 1,
	},
	uneven: {
		floorTokensPerMinute: 3000,
		ceilingTokensPerMinute: 9000,
		shareWeight: 1,
	},
};

const capacityTokensPerSecond = 300;
const streamTokensPerSecond = 20;
const estimatedTokensPerGeneration = 300;
const maxTokensPerGeneration = 600;
const floodRequestsPerVm = 2;

// Mean interval between the steady account's requests at each VM; they are random.
const secondsPerSteadyRequest = 10;

/** Within this time, a VM reports a change of its usage (1 s) and its peers propagate the report (a few seconds). */
const maxReportDelayMs = 5000;

/**
 * Creates the load of a fleet.
 * @param random - source of the lengths of generations and of the arrivals of steady requests
 */
export function createContractLoad(
	vms: readonly FleetVm[],
	context: SoakContext,
	random: RandomSource,
): ContractLoad {
	const {time, invariants} = context;
	let openGenerations: OpenGeneration[] = [];
	const deliveries = createDeliveryRecord();
	/** Tokens that the account's generations could have taken in this minute, by account. */
	let demandTokens = new Map<string, number>();
	let currentMinute = minuteOf(time.wallMs());
	let isFirstMinute = true;
	/** VMs that were down or may have been unreachable in this minute. */
	let faultyVms = new Set<string>();

	const deliveredNow = (account: string) =>
		deliveries.deliveredTokens(account, time.nowMs());

	const request = (vm: FleetVm, account: string) => {
		if (vm.state !== 'running') {
			return;
		}

		context.countRequests();
		const {ledger} = vm.node;
		try {
			const reservation = ledger.reserve(
				account,
				estimatedTokensPerGeneration,
				time.wallMs(),
			);
			const remainingTokens = 1 + random.nextInt(maxTokensPerGeneration);
			openGenerations.push({vm, ledger, account, reservation, remainingTokens});
		} catch (error) {
			const problem = toProblem(error);
			const {floorTokensPerMinute} = loadContracts[account];
			// Reservations count by their estimates: the ledger cannot know that generations will be shorter, and
			// admits more when they end.
			const reservedTokens = openGenerations
				.filter((one) => one.account === account)
				.reduce((sum, one) => sum + one.reservation.estimatedTokens, 0);
			invariants.check(
				'contract-floor',
				problem.type === 'rate-limited' &&
					deliveredNow(account) + reservedTokens >= floorTokensPerMinute,
				() => `${account} was refused below its floor: ${problem.message}`,
			);
		}
	};

	const serve = (
		generations: readonly OpenGeneration[],
		capacityTokens: number,
	): number => {
		const tokensPerGeneration = Math.min(
			streamTokensPerSecond,
			capacityTokens / Math.max(1, generations.length),
		);
		let usedTokens = 0;
		for (const one of generations) {
			const tokens = Math.min(one.remainingTokens, tokensPerGeneration);
			one.remainingTokens -= tokens;
			usedTokens += tokens;
			one.ledger.charge(one.reservation, tokens, time.wallMs());
			const nowMs = time.nowMs();
			deliveries.add({
				account: one.account,
				vm: one.vm.address.name,
				atMs: nowMs,
				tokens,
				// A faulty VM may be unreachable, so that its deliveries are unknown to the others.
				isReported: nowMs >= one.vm.faultyUntilMs,
			});
			if (one.remainingTokens <= 0) {
				one.ledger.release(one.reservation);
			}
		}

		return usedTokens;
	};

	// Every account must receive its floor, as far as its generations could take it, and at most a bound.
	// The ceiling may be exceeded while the VMs redistribute their shares of it or cannot communicate: the
	// shares of all VMs add up to at most 2, each unreachable VM may serve the floor by its own count, and each
	// VM finishes one generation beyond its share.
	const checkMinute = () => {
		for (const [account, contract] of Object.entries(loadContracts)) {
			const tokens = deliveredNow(account);
			const floor = Math.min(
				contract.floorTokensPerMinute,
				demandTokens.get(account) ?? 0,
			);
			invariants.check(
				'contract-floor',
				tokens >= Math.floor(floor),
				() =>
					`${account} received ${tokens} tokens, less than its floor or demand of ${floor}`,
			);
			const maxTokens =
				2 * contract.ceilingTokensPerMinute +
				faultyVms.size * contract.floorTokensPerMinute +
				vms.length * maxTokensPerGeneration;
			invariants.check(
				'contract-floor',
				tokens <= maxTokens,
				() =>
					`${account} received ${tokens} tokens, more than the bound of ${maxTokens}`,
			);
			context.trace(`${account} received ${Math.round(tokens)} tokens`);
		}
	};

	const startNewMinute = () => {
		const now = minuteOf(time.wallMs());
		if (now === currentMinute) {
			return;
		}

		currentMinute = now;
		if (!isFirstMinute) {
			checkMinute();
		}

		isFirstMinute = false;
		deliveries.clear();
		demandTokens = new Map();
		faultyVms = new Set();
	};

	return {
		deliveredTokens: deliveries.deliveredTokens,
		reportedTokens: deliveries.reportedTokens,
		dropGenerationsOf(vm) {
			deliveries.markUnreported(
				vm.address.name,
				time.nowMs() - maxReportDelayMs,
			);
			openGenerations = openGenerations.filter((one) => one.vm !== vm);
		},
		step() {
			startNewMinute();
			for (const [index, vm] of vms.entries()) {
				for (let count = 0; count < floodRequestsPerVm; count++) {
					request(vm, 'flood');
				}

				if (random.nextInt(secondsPerSteadyRequest) === 0) {
					request(vm, 'steady');
				}

				if (index === currentMinute % vms.length) {
					request(vm, 'uneven');
				}

				if (
					vm.state !== 'running' ||
					time.nowMs() - vm.faultyUntilMs < 10_000
				) {
					faultyVms.add(vm.address.name);
				}
			}

			const running = openGenerations.filter(
				(one) => one.vm.state === 'running',
			);
			for (const one of running) {
				const possibleTokens = Math.min(
					one.remainingTokens,
					streamTokensPerSecond,
				);
				demandTokens.set(
					one.account,
					(demandTokens.get(one.account) ?? 0) + possibleTokens,
				);
			}

			const belowFloorGenerations: OpenGeneration[] = [];
			const otherGenerations: OpenGeneration[] = [];
			for (const one of running) {
				const {belowFloor} = one.ledger.quotaStatus(one.account, time.wallMs());
				(belowFloor ? belowFloorGenerations : otherGenerations).push(one);
			}

			serve(
				otherGenerations,
				capacityTokensPerSecond -
					serve(belowFloorGenerations, capacityTokensPerSecond),
			);
			openGenerations = openGenerations.filter(
				(one) => one.remainingTokens > 0,
			);
		},
	};
}
