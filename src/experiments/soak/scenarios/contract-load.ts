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

/** Generations of a few client accounts on engines of limited capacity, stepped once a second. */
export type ContractLoad = {
	/** Serves one second. */
	step(): void;
	/** Tokens that an account was given in the current minute, by all VMs or all but one, up to a time. */
	deliveredTokens(account: string, untilMs: number, exceptVm?: string): number;
	/** Like `delivered`, without what VMs delivered while cut off or just before they were killed. */
	reportedTokens(account: string, untilMs: number, exceptVm: string): number;
	/** Ends what a killed VM has open. */
	dropGenerationsOf(vm: FleetVm): void;
};

type OpenGeneration = {
	readonly vm: FleetVm;
	readonly ledger: FleetVm['node']['ledger'];
	readonly account: string;
	readonly reservation: TokenReservation;
	remainingTokens: number;
};

/** Contracts: a flood on every VM, a steady account, and one that the balancer sends to a single VM. */
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

const capacityPerSecond = 300;
const streamTokensPerSecond = 20;
const estimatedTokensPerGeneration = 300;
const maxTokensPerGeneration = 600;
const floodRequestsPerVm = 2;
const secondsPerSteadyRequest = 10;

/** A report on a change leaves within a second and is passed on within a few. */
const maxReportDelayMs = 5000;

/** Creates the load of a fleet. */
export function createContractLoad(
	vms: readonly FleetVm[],
	context: SoakContext,
	lengths: RandomSource,
): ContractLoad {
	const {time, invariants} = context;
	let open: OpenGeneration[] = [];
	const deliveries = createDeliveryRecord();
	let offered = new Map<string, number>();
	let minute = minuteOf(time.wallMs());
	let isFirstMinute = true;
	let strandedVms = new Set<string>();

	const delivered = (account: string) =>
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
			const remainingTokens = 1 + lengths.nextInt(maxTokensPerGeneration);
			open.push({vm, ledger, account, reservation, remainingTokens});
		} catch (error) {
			const problem = toProblem(error);
			const {floorTokensPerMinute} = loadContracts[account];
			// By the estimates: the ledger cannot know that generations will be shorter, and admits more when
			// they end.
			const reserved = open
				.filter((one) => one.account === account)
				.reduce((sum, one) => sum + one.reservation.estimatedTokens, 0);
			invariants.check(
				'contract-floor',
				problem.type === 'rate-limited' &&
					delivered(account) + reserved >= floorTokensPerMinute,
				() => `${account} was refused below its floor: ${problem.message}`,
			);
		}
	};

	const serve = (
		generations: readonly OpenGeneration[],
		capacity: number,
	): number => {
		const share = Math.min(
			streamTokensPerSecond,
			capacity / Math.max(1, generations.length),
		);
		let used = 0;
		for (const one of generations) {
			const tokens = Math.min(one.remainingTokens, share);
			one.remainingTokens -= tokens;
			used += tokens;
			one.ledger.charge(one.reservation, tokens, time.wallMs());
			const nowMs = time.nowMs();
			deliveries.add({
				account: one.account,
				vm: one.vm.address.name,
				atMs: nowMs,
				tokens,
				// A VM in trouble may be cut off: what it delivers then is unknown to others.
				isReported: nowMs >= one.vm.faultyUntilMs,
			});
			if (one.remainingTokens <= 0) {
				one.ledger.release(one.reservation);
			}
		}

		return used;
	};

	// The ceiling may be exceeded while shares move or cannot be agreed on: the shares of all VMs add up to
	// at most two, each VM that is cut off may serve the floor by its own count, and each VM finishes one
	// generation beyond its allowance.
	const checkMinute = () => {
		for (const [account, contract] of Object.entries(loadContracts)) {
			const tokens = delivered(account);
			const floor = Math.min(
				contract.floorTokensPerMinute,
				offered.get(account) ?? 0,
			);
			invariants.check(
				'contract-floor',
				tokens >= Math.floor(floor),
				() => `${account} got ${tokens} of ${floor} tokens`,
			);
			const bound =
				2 * contract.ceilingTokensPerMinute +
				strandedVms.size * contract.floorTokensPerMinute +
				vms.length * maxTokensPerGeneration;
			invariants.check(
				'contract-floor',
				tokens <= bound,
				() => `${account} got ${tokens}, more than the bound ${bound}`,
			);
			context.trace(`${account} got ${Math.round(tokens)} tokens`);
		}
	};

	const turnMinute = () => {
		const now = minuteOf(time.wallMs());
		if (now === minute) {
			return;
		}

		minute = now;
		if (!isFirstMinute) {
			checkMinute();
		}

		isFirstMinute = false;
		deliveries.clear();
		offered = new Map();
		strandedVms = new Set();
	};

	return {
		deliveredTokens: deliveries.deliveredTokens,
		reportedTokens: deliveries.reportedTokens,
		dropGenerationsOf(vm) {
			deliveries.markUnreported(
				vm.address.name,
				time.nowMs() - maxReportDelayMs,
			);
			open = open.filter((one) => one.vm !== vm);
		},
		step() {
			turnMinute();
			for (const [index, vm] of vms.entries()) {
				for (let count = 0; count < floodRequestsPerVm; count++) {
					request(vm, 'flood');
				}

				if (lengths.nextInt(secondsPerSteadyRequest) === 0) {
					request(vm, 'steady');
				}

				if (index === minute % vms.length) {
					request(vm, 'uneven');
				}

				if (
					vm.state !== 'running' ||
					time.nowMs() - vm.faultyUntilMs < 10_000
				) {
					strandedVms.add(vm.address.name);
				}
			}

			const running = open.filter((one) => one.vm.state === 'running');
			for (const one of running) {
				const could = Math.min(one.remainingTokens, streamTokensPerSecond);
				offered.set(one.account, (offered.get(one.account) ?? 0) + could);
			}

			const below: OpenGeneration[] = [];
			const rest: OpenGeneration[] = [];
			for (const one of running) {
				const {belowFloor} = one.ledger.quotaStatus(one.account, time.wallMs());
				(belowFloor ? below : rest).push(one);
			}

			serve(rest, capacityPerSecond - serve(below, capacityPerSecond));
			open = open.filter((one) => one.remainingTokens > 0);
		},
	};
}
