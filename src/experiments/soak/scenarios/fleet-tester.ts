import {minuteMs} from '../../../decisions/contracts/index.js';
import type {FakeFleet, FleetVm} from '../../fakes/index.js';
import type {SoakContext} from '../soak-scenario.js';
import {type ContractLoad, loadContracts} from './contract-load.js';

/**
 * Injects changes into the state that the fleet shares (configuration, leaving targets, usage of accounts) and
 * checks the invariants of that state.
 */
export type FleetTester = {
	/** Records that a VM is faulty for some time, during which the time limits do not apply to it. */
	recordFaultPeriod(vm: FleetVm, durationMs: number): void;
	/** Marks a target as leaving at one VM, as if that VM had seen the target announce it. */
	startLeaving(vm: FleetVm, target: number): void;
	/** Gives a target a new instance id, as if it had restarted on a new VM. */
	replaceTarget(target: number): void;
	/** Commits a change of the configuration and lets one VM read it from the table. */
	commitChange(vm: FleetVm): void;
	/** Checks the invariants that hold at any time; call once a second. */
	checkEverySecond(): void;
	/** Checks the invariants that hold long after the last fault. */
	checkFinalState(): void;
};

/** Invariant `leaving-target`: every VM knows that a target is leaving within this time after the first VM does. */
const leavingLimitMs = 5000;

/** Invariant `configuration`: a change is in force on every VM within this time. */
const changeLimitMs = 11_000;

/**
 * Highest age of the usage that a VM knows of: VMs renew their reports every 10 s while an account is in use,
 * and a report takes a few seconds to reach all VMs.
 */
const maxReportAgeMs = 16_000;

/**
 * VMs report a change of their usage early once the unreported usage of all of them together may reach this
 * fraction of the account's ceiling.
 */
const maxUnreportedFraction = 0.05;

/** Creates the tester of a fleet and its load. */
export function createFleetTester(
	fleet: FakeFleet,
	load: ContractLoad,
	context: SoakContext,
): FleetTester {
	const {time, invariants} = context;
	const highestVersions = new Map<FleetVm, number>();
	let replacementCount = 0;

	// Whether a VM has been running without a fault for at least the given time.
	const isHealthyFor = (vm: FleetVm, durationMs: number) =>
		vm.state === 'running' && time.nowMs() - vm.faultyUntilMs >= durationMs;

	const checkVersions = () => {
		for (const vm of fleet.vms) {
			const {version} = vm.follower.current;
			const highest = highestVersions.get(vm) ?? 0;
			// A restarted VM is not ready until it has read the table service.
			if (vm.state === 'running' && vm.follower.isCaughtUp) {
				invariants.check(
					'configuration',
					version >= highest,
					() => `${vm.address.name} went from version ${highest} to ${version}`,
				);
				highestVersions.set(vm, version);
			}
		}
	};

	/** Checks that a VM counts for a silent peer at least its reported usage plus what its last rate adds since then. */
	const checkSilentPeers = (vm: FleetVm) => {
		const {peerUsage, membership} = vm.node;
		const wallMs = time.wallMs();
		for (const {name} of membership.directory.members()) {
			if (membership.directory.stateOf(name, time.nowMs()) === 'live') {
				continue;
			}

			for (const account of Object.keys(loadContracts)) {
				const usage = peerUsage.sumUsage(
					account,
					wallMs,
					(one) => one === name,
				);
				const reportedAtMs = peerUsage.reportedAtMs(name, account) ?? wallMs;
				const silentMs = Math.min(wallMs - reportedAtMs, wallMs % minuteMs);
				const extrapolatedTokens =
					(0.9 * usage.tokensPerSecond * silentMs) / 1000;
				invariants.check(
					'contract-floor',
					usage.estimatedTokens >= usage.reportedTokens + extrapolatedTokens,
					() =>
						`${vm.address.name} counts ${usage.estimatedTokens} tokens of ${account} for the silent peer ${name}`,
				);
			}
		}
	};

	/**
	 * Checks that the usage that a VM counts for its peers exceeds what they delivered by at most one token for
	 * each VM, and that its lag is bounded.
	 */
	const checkPeerUsage = () => {
		const sinceMs = time.nowMs() - maxReportAgeMs;
		// Usage that a killed VM had not reported yet stays unknown for the rest of the minute.
		const faultFreeMs = maxReportAgeMs + (time.wallMs() % minuteMs);
		const isFaultFree = fleet.vms.every((vm) => isHealthyFor(vm, faultFreeMs));
		for (const vm of fleet.vms) {
			if (vm.state !== 'running') {
				continue;
			}

			checkSilentPeers(vm);
			const {name} = vm.address;
			for (const account of Object.keys(loadContracts)) {
				const usage = vm.node.peerUsage.sumUsage(account, time.wallMs());
				const deliveredTokens = load.deliveredTokens(
					account,
					time.nowMs(),
					name,
				);
				invariants.check(
					'contract-floor',
					usage.reportedTokens <= deliveredTokens + fleet.vms.length,
					() =>
						`${name} counts ${usage.reportedTokens} tokens of ${account}, but its peers delivered ${deliveredTokens}`,
				);
				const earlierTokens = load.deliveredTokens(account, sinceMs, name);
				if (isHealthyFor(vm, maxReportAgeMs)) {
					const unreportedTokens =
						maxUnreportedFraction *
						loadContracts[account].ceilingTokensPerMinute;
					const reportedTokens = load.reportedTokens(account, sinceMs, name);
					invariants.check(
						'contract-floor',
						usage.estimatedTokens >= 0.5 * reportedTokens - unreportedTokens,
						() =>
							`${name} counts ${usage.estimatedTokens} tokens against the ceiling of ${account}, but its peers reported ${reportedTokens}`,
					);
				}

				if (isFaultFree) {
					invariants.check(
						'contract-floor',
						usage.reportedTokens >= earlierTokens - fleet.vms.length,
						() =>
							`${name} counts ${usage.reportedTokens} tokens of ${account} long after its peers delivered ${earlierTokens}`,
					);
				}
			}
		}
	};

	const checkLeaving = (targetId: string, instanceId: string) => {
		for (const vm of fleet.vms) {
			const current = fleet.targetVms.find((one) => one.name === targetId);
			if (
				isHealthyFor(vm, leavingLimitMs) &&
				time.nowMs() - vm.startedAtMs >= leavingLimitMs &&
				current?.instanceId === instanceId
			) {
				invariants.check(
					'leaving-target',
					vm.node.leavingTargets.targetIds.has(targetId),
					() => `${vm.address.name} does not know that ${targetId} is leaving`,
				);
			}
		}
	};

	return {
		recordFaultPeriod(vm, durationMs) {
			vm.faultyUntilMs = Math.max(vm.faultyUntilMs, time.nowMs() + durationMs);
		},
		startLeaving(vm, target) {
			const {name, instanceId} = fleet.targetVms[target];
			if (!isHealthyFor(vm, 0)) {
				return;
			}

			vm.node.leavingTargets.recordLeaving(name, time.wallMs());
			time.after(leavingLimitMs, () => {
				if (isHealthyFor(vm, leavingLimitMs)) {
					checkLeaving(name, instanceId);
				}
			});
		},
		replaceTarget(target) {
			const entry = fleet.targetVms[target];
			const instanceId = `${entry.name}-${++replacementCount}`;
			fleet.targetVms[target] = {...entry, instanceId};
		},
		commitChange(vm) {
			if (!isHealthyFor(vm, 0) || !vm.follower.isCaughtUp) {
				return;
			}

			const version = fleet.changes.length + 1;
			fleet.changes.push({
				version,
				changeId: `change-${version}`,
				author: 'operator',
				atWallMs: time.wallMs(),
				edits: [{op: 'set', key: 'class.maxTokens', value: version}],
			});
			vm.follower.offer(
				fleet.changes.slice(vm.follower.current.version),
				'table',
			);
			time.after(changeLimitMs, () => {
				for (const one of fleet.vms) {
					if (
						isHealthyFor(vm, changeLimitMs) &&
						isHealthyFor(one, changeLimitMs) &&
						one.follower.isCaughtUp
					) {
						invariants.check(
							'configuration',
							one.follower.current.version >= version,
							() => `${one.address.name} does not have version ${version}`,
						);
					}
				}
			});
		},
		checkEverySecond() {
			checkVersions();
			checkPeerUsage();
		},
		checkFinalState() {
			checkVersions();
			checkPeerUsage();
			for (const vm of fleet.vms) {
				const {name} = vm.address;
				invariants.check(
					'configuration',
					vm.follower.current.version === fleet.changes.length,
					() => `${name} does not have the last version`,
				);
				for (const targetId of vm.node.leavingTargets.targetIds) {
					const current = fleet.targetVms.find((one) => one.name === targetId);
					context.trace(
						`${name}: ${targetId} ${current?.instanceId} is leaving`,
					);
				}
			}
		},
	};
}
