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

/** Size of a simulated fleet. */
export type SimulatedFleet = {
	readonly members: number;
	readonly regions: number;
	readonly zonesPerRegion: number;
	readonly accounts: number;
	readonly targetsPerRegion: number;
	readonly seed: number;
	/** Virtual time that is measured, in seconds; the first minute is left out. */
	readonly measuredSeconds: number;
};

/** Figures of a simulated fleet, for each daemon and second. */
export type SimulatedFigures = {
	readonly members: number;
	/** Requests and replies sent. */
	readonly messagesSent: number;
	readonly heartbeatBytes: number;
	readonly usageBytes: number;
	readonly activityBytes: number;
	readonly leavingBytes: number;
	/** Packed messages without the headers of HTTP. */
	readonly bodyBytes: number;
	/** Time until the last VM knew a leaving target, in milliseconds. */
	readonly leavingKnownMs: number;
	/** Mean error of what VMs count for others in their region, as a part of what these used. */
	readonly usageError: number;
	/** The same over the ten largest accounts. */
	readonly largeAccountsUsageError: number;
	/** The ten largest accounts, over the whole fleet in place of the region. */
	readonly largeAccountsFleetError: number;
	readonly entriesPerVm: number;
	readonly pendingPerVm: number;
};

const tokensPerSecondPerVm = 12_200;
const warmUpMs = 60_000;
const secondMs = 1000;
const largeAccounts = 10;
const reservedSeconds = 10;
const accountPrefix = 'account-';
const swingMs = 60_000;

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

// Half of what an account uses is guaranteed, and its ceiling is half above it.
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

// The load of a target from one VM rises and falls within a few minutes.
function activityOf(vm: number, target: string, nowMs: number): TargetActivity {
	const phase = vm + nowMs / swingMs;
	const swing = Math.sin(phase + target.length + Number(target.at(-1)));
	return {
		targetId: target,
		openCount: 4 + Math.round(2 * swing),
		openTokens: 4500 + Math.round(2000 * swing),
		expectedGrowthTokens: 1500 + Math.round(500 * swing),
	};
}

/** Runs a fleet under an uneven load and measures what its membership sends. */
export async function simulateMembership(
	size: SimulatedFleet,
): Promise<SimulatedFigures> {
	const time = new VirtualTime();
	const random = new SeededRandomSource(size.seed);
	const weights = weightsOf(size.accounts);
	let tally = emptyTally();
	const count = (message: MembershipMessage, bytes: number) => {
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
		onMessage: count,
	});
	fleet.start();

	const reservations = new Map<FleetVm, TokenReservation[]>();
	const used = new Map<FleetVm, number[]>();
	let minute = Math.floor(time.wallMs() / 60_000);
	const load = () => {
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
				nowMinute === minute ? (used.get(vm) ?? []) : ([] as number[]);
			for (const [account, reservation] of open.entries()) {
				const mean = tokensPerSecondPerVm * weights[account];
				const tokens = Math.round(mean * 2 * random.nextUnit());
				vmUsed[account] = (vmUsed[account] ?? 0) + tokens;
				ledger.charge(reservation, tokens, time.wallMs());
			}

			used.set(vm, vmUsed);
			vm.activity = Array.from({length: size.targetsPerRegion}, (_, target) =>
				activityOf(
					index,
					`engine-${vm.address.region}-${target}`,
					time.nowMs(),
				),
			);
		}

		minute = nowMinute;
		time.after(secondMs, load);
	};

	time.after(1, load);
	await time.runUntil(warmUpMs);
	tally = emptyTally();
	await time.runUntil(warmUpMs + size.measuredSeconds * secondMs);
	const sent = tally;
	tally = emptyTally();

	const usageError = (accounts: number) => {
		const regions = new Map<string, number[]>();
		for (const vm of fleet.vms) {
			const sums = regions.get(vm.address.region) ?? weights.map(() => 0);
			regions.set(
				vm.address.region,
				sums.map((sum, account) => sum + used.get(vm)![account]),
			);
		}

		let error = 0;
		let truth = 0;
		for (const vm of fleet.vms) {
			const sums = regions.get(vm.address.region)!;
			for (let account = 0; account < accounts; account++) {
				const real = sums[account] - used.get(vm)![account];
				const view = vm.node.peerUsage.sumUsage(
					`${accountPrefix}${account}`,
					time.wallMs(),
					(source) => !source.startsWith('r:'),
				);
				error += Math.abs(real - view.estimatedTokens);
				truth += real;
			}
		}

		return truth === 0 ? 0 : error / truth;
	};

	const errors = [usageError(size.accounts), usageError(largeAccounts)];
	const fleetError = () => {
		let error = 0;
		let truth = 0;
		for (let account = 0; account < largeAccounts; account++) {
			let sum = 0;
			for (const vm of fleet.vms) {
				sum += used.get(vm)![account];
			}

			for (const vm of fleet.vms) {
				const real = sum - used.get(vm)![account];
				const view = vm.node.peerUsage.sumUsage(
					`${accountPrefix}${account}`,
					time.wallMs(),
				);
				error += Math.abs(real - view.estimatedTokens);
				truth += real;
			}
		}

		return error / truth;
	};

	errors.push(fleetError());
	const signedAtMs = time.nowMs();
	fleet.vms[0].node.leavingTargets.recordLeaving('engine-1', time.wallMs());
	const isKnown = () =>
		fleet.vms.every((vm) => vm.node.leavingTargets.targetIds.has('engine-1'));
	while (!isKnown() && time.nowMs() - signedAtMs < 60_000) {
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
		messagesSent: perVmSecond(sent.messages),
		heartbeatBytes: perVmSecond(
			sent.bytes - sent.usage - sent.activity - sent.leaving,
		),
		usageBytes: perVmSecond(sent.usage),
		activityBytes: perVmSecond(sent.activity),
		leavingBytes: perVmSecond(sent.leaving),
		bodyBytes: perVmSecond(sent.bytes),
		leavingKnownMs: time.nowMs() - signedAtMs,
		usageError: Math.round(errors[0] * 1000) / 1000,
		largeAccountsUsageError: Math.round(errors[1] * 1000) / 1000,
		largeAccountsFleetError: Math.round(errors[2] * 1000) / 1000,
		entriesPerVm: perVm((vm) => vm.node.membership.entries.size),
		pendingPerVm: perVm((vm) => vm.node.membership.entries.pendingCount),
	};
}
