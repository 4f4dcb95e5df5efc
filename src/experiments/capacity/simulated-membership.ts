import {
	type Contract,
	SeededRandomSource,
	type TargetActivity,
} from '../../common/index.js';
import type {TokenReservation} from '../../decisions/contracts/index.js';
import {
	entryBytes,
	type MembershipMessage,
} from '../../decisions/membership/index.js';
import {createFakeFleet, VirtualTime, type FleetVm} from '../fakes/index.js';

/** Size, load and seed of a simulated fleet. */
export type SimulatedFleet = {
	readonly members: number;
	readonly regions: number;
	readonly zonesPerRegion: number;
	readonly accounts: number;
	readonly targetsPerRegion: number;
	readonly seed: number;
	/** Virtual time that is measured after a warm-up of one minute, in seconds. */
	readonly measuredSeconds: number;
};

/** Figures of a simulated fleet; `messagesSent` and the bytes are per VM and second. */
export type SimulatedFigures = {
	readonly members: number;
	/** Requests and responses sent. */
	readonly messagesSent: number;
	/** Bodies without their entries: heartbeats, sender and message envelope. */
	readonly heartbeatBytes: number;
	readonly usageBytes: number;
	readonly activityBytes: number;
	readonly leavingBytes: number;
	/** Packed messages without HTTP headers. */
	readonly bodyBytes: number;
	/** Time until a leaving target that one VM reports is known to all VMs, in milliseconds; at most 60 000. */
	readonly leavingKnownMs: number;
	/**
	 * Error of the VMs' estimates of what the other VMs of their region used in the current minute: the
	 * sum of absolute errors over all VMs and accounts, as a fraction of the actual usage.
	 */
	readonly usageError: number;
	/** `usageError` of the ten largest accounts only. */
	readonly largeAccountsUsageError: number;
	/** Error for the ten largest accounts, with estimates over the whole fleet instead of the region. */
	readonly largeAccountsFleetError: number;
	/** Shared entries that a VM holds at the end. */
	readonly entriesPerVm: number;
	/** Entries that a VM still has to pass on at the end. */
	readonly pendingPerVm: number;
};

const tokensPerSecondPerVm = 12_200;
const warmUpMs = 60_000;
const secondMs = 1000;
const largeAccountCount = 10;
const reservedSeconds = 10;
const accountPrefix = 'account-';
const activityTimeScaleMs = 60_000;

type Tally = {
	messages: number;
	bytes: number;
	usage: number;
	activity: number;
	leaving: number;
};

const emptyTally = (): Tally => ({
	messages: 0,
	bytes: 0,
	usage: 0,
	activity: 0,
	leaving: 0,
});

function weightsOf(accounts: number): number[] {
	const weights = Array.from({length: accounts}, (_, rank) => 1 / (rank + 1));
	const sum = weights.reduce((total, one) => total + one, 0);
	return weights.map((one) => one / sum);
}

// The floor of an account is half of its mean usage, the ceiling one and a half times its mean usage.
function contractOf(size: SimulatedFleet, weights: readonly number[]) {
	return (account: string): Contract => {
		const rank = Number(account.slice(accountPrefix.length));
		const perMinute = 60 * tokensPerSecondPerVm * size.members * weights[rank];
		return {
			floorTokensPerMinute: 0.5 * perMinute,
			ceilingTokensPerMinute: 1.5 * perMinute,
			shareWeight: 1,
		};
	};
}

// The load from one VM at a target rises and falls with a period of 2π minutes.
function activityOf(vm: number, target: string, nowMs: number): TargetActivity {
	const phase = vm + nowMs / activityTimeScaleMs;
	const swing = Math.sin(phase + target.length + Number(target.at(-1)));
	return {
		targetId: target,
		openCount: 4 + Math.round(2 * swing),
		openTokens: 4500 + Math.round(2000 * swing),
		expectedGrowthTokens: 1500 + Math.round(500 * swing),
	};
}

/**
 * Runs a fleet whose accounts use tokens in inverse proportion to their rank, and measures what its
 * membership sends and how accurate the shared usage is.
 */
export async function simulateMembership(
	size: SimulatedFleet,
): Promise<SimulatedFigures> {
	const time = new VirtualTime();
	const random = new SeededRandomSource(size.seed);
	const weights = weightsOf(size.accounts);
	let tally = emptyTally();
	const recordMessage = (message: MembershipMessage, bytes: number) => {
		tally.messages++;
		tally.bytes += bytes;
		for (const entry of message.entries) {
			tally[entry.kind] += entryBytes(entry);
		}
	};

	const fleet = createFakeFleet({
		time,
		random,
		members: Array.from({length: size.members}, (_, index) => {
			const region = index % size.regions;
			const zone = Math.floor(index / size.regions) % size.zonesPerRegion;
			return {
				name: `entry-${index}`,
				address: `10.0.0.1:${index + 1}`,
				availabilityZone: `zone-${region}-${zone}`,
				region: `region-${region}`,
			};
		}),
		contractOf: contractOf(size, weights),
		onMessage: recordMessage,
	});
	fleet.start();

	const reservations = new Map<FleetVm, TokenReservation[]>();
	const usedTokens = new Map<FleetVm, number[]>();
	let minute = Math.floor(time.wallMs() / 60_000);
	const generateLoad = () => {
		const nowMinute = Math.floor(time.wallMs() / 60_000);
		for (const [index, vm] of fleet.vms.entries()) {
			const {ledger} = vm.node;
			for (const reservation of reservations.get(vm) ?? []) {
				ledger.release(reservation);
			}

			const open = weights.map((weight, account) =>
				ledger.reserve(
					`${accountPrefix}${account}`,
					tokensPerSecondPerVm * weight * reservedSeconds,
					time.wallMs(),
				),
			);
			reservations.set(vm, open);
			const vmUsed =
				nowMinute === minute ? (usedTokens.get(vm) ?? []) : ([] as number[]);
			for (const [account, reservation] of open.entries()) {
				const mean = tokensPerSecondPerVm * weights[account];
				const tokens = Math.round(mean * 2 * random.nextUnit());
				vmUsed[account] = (vmUsed[account] ?? 0) + tokens;
				ledger.charge(reservation, tokens, time.wallMs());
			}

			usedTokens.set(vm, vmUsed);
			vm.activity = Array.from({length: size.targetsPerRegion}, (_, target) =>
				activityOf(
					index,
					`engine-${vm.address.region}-${target}`,
					time.nowMs(),
				),
			);
		}

		minute = nowMinute;
		time.after(secondMs, generateLoad);
	};

	time.after(1, generateLoad);
	await time.runUntil(warmUpMs);
	tally = emptyTally();
	await time.runUntil(warmUpMs + size.measuredSeconds * secondMs);
	const measuredTally = tally;
	tally = emptyTally();

	const usageError = (accountCount: number) => {
		const regions = new Map<string, number[]>();
		for (const vm of fleet.vms) {
			const sums = regions.get(vm.address.region) ?? weights.map(() => 0);
			regions.set(
				vm.address.region,
				sums.map((sum, account) => sum + usedTokens.get(vm)![account]),
			);
		}

		let errorSum = 0;
		let actualSum = 0;
		for (const vm of fleet.vms) {
			const sums = regions.get(vm.address.region)!;
			for (let account = 0; account < accountCount; account++) {
				const actualTokens = sums[account] - usedTokens.get(vm)![account];
				const estimate = vm.node.peerUsage.sumUsage(
					`${accountPrefix}${account}`,
					time.wallMs(),
					// Without the sums of the other regions, as the actual usage is that of the region.
					(source) => !source.startsWith('r:'),
				);
				errorSum += Math.abs(actualTokens - estimate.estimatedTokens);
				actualSum += actualTokens;
			}
		}

		return actualSum === 0 ? 0 : errorSum / actualSum;
	};

	const errors = [usageError(size.accounts), usageError(largeAccountCount)];
	const fleetError = () => {
		let errorSum = 0;
		let actualSum = 0;
		for (let account = 0; account < largeAccountCount; account++) {
			let sum = 0;
			for (const vm of fleet.vms) {
				sum += usedTokens.get(vm)![account];
			}

			for (const vm of fleet.vms) {
				const actualTokens = sum - usedTokens.get(vm)![account];
				const estimate = vm.node.peerUsage.sumUsage(
					`${accountPrefix}${account}`,
					time.wallMs(),
				);
				errorSum += Math.abs(actualTokens - estimate.estimatedTokens);
				actualSum += actualTokens;
			}
		}

		return errorSum / actualSum;
	};

	errors.push(fleetError());
	const reportedAtMs = time.nowMs();
	fleet.vms[0].node.leavingTargets.recordLeaving('engine-1', time.wallMs());
	const isKnown = () =>
		fleet.vms.every((vm) => vm.node.leavingTargets.targetIds.has('engine-1'));
	while (!isKnown() && time.nowMs() - reportedAtMs < 60_000) {
		await time.runUntil(time.nowMs() + 50);
	}

	const perVmSecond = (value: number) =>
		Math.round((10 * value) / size.members / size.measuredSeconds) / 10;
	const perVm = (value: (vm: FleetVm) => number) =>
		Math.round(
			fleet.vms.reduce((sum, vm) => sum + value(vm), 0) / size.members,
		);
	return {
		members: size.members,
		messagesSent: perVmSecond(measuredTally.messages),
		heartbeatBytes: perVmSecond(
			measuredTally.bytes -
				measuredTally.usage -
				measuredTally.activity -
				measuredTally.leaving,
		),
		usageBytes: perVmSecond(measuredTally.usage),
		activityBytes: perVmSecond(measuredTally.activity),
		leavingBytes: perVmSecond(measuredTally.leaving),
		bodyBytes: perVmSecond(measuredTally.bytes),
		leavingKnownMs: time.nowMs() - reportedAtMs,
		usageError: Math.round(errors[0] * 1000) / 1000,
		largeAccountsUsageError: Math.round(errors[1] * 1000) / 1000,
		largeAccountsFleetError: Math.round(errors[2] * 1000) / 1000,
		entriesPerVm: perVm((vm) => vm.node.membership.entries.size),
		pendingPerVm: perVm((vm) => vm.node.membership.entries.pendingCount),
	};
}
