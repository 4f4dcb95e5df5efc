import {minuteMs} from '../../../decisions/contracts/index.js';
import type {FakeFleet, FleetVm} from '../../fakes/index.js';
import type {SoakContext} from '../soak-scenario.js';
import {type ContractLoad, loadContracts} from './contract-load.js';

/** Puts the promises of the shared state to the test. */
export type FleetChecks = {
	/** Notes that a VM is in trouble for some time, so that the time limits do not apply to it. */
	recordDisruption(vm: FleetVm, durationMs: number): void;
	/** A target shows one VM that it is leaving. */
	startLeaving(vm: FleetVm, target: number): void;
	/** A target returns on a new instance. */
	replaceTarget(target: number): void;
	/** An operator's change is committed and one VM reads it. */
	commitChange(vm: FleetVm): void;
	/** Checks what holds at any time; call once a second. */
	checkEverySecond(): void;
	/** Checks what holds long after the last fault. */
	checkFinalState(): void;
};

/** P5: a leaving target is known everywhere within this time of the first sign. */
const leavingLimitMs = 5000;

/** P7: a change is in force everywhere within this time. */
const changeLimitMs = 11_000;

/** A report is renewed every 10 s while an account is in use and travels for a few seconds. */
const maxReportAgeMs = 16_000;

/** VMs report a change once all of them together may be off by this part of an account's ceiling. */
const maxUnreportedFraction = 0.05;

/** Creates checks over a fleet and its load. */
export function createFleetChecks(
	fleet: FakeFleet,
	load: ContractLoad,
	context: SoakContext,
): FleetChecks {
	const {time, invariants} = context;
	const highestVersions = new Map<FleetVm, number>();
	let replacements = 0;

	// True if a VM ran without trouble for so long, up to now.
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
					() => `${vm.address.name} went from ${highest} to ${version}`,
				);
				highestVersions.set(vm, version);
			}
		}
	};

	/** A silent VM goes on to count against the ceilings with its last rate. */
	const checkSilent = (vm: FleetVm) => {
		const {peerUsage, membership} = vm.node;
		const wallMs = time.wallMs();
		for (const {name} of membership.directory.members()) {
			if (membership.directory.stateOf(name, time.nowMs()) === 'live') {
				continue;
			}

			for (const account of Object.keys(loadContracts)) {
				const view = peerUsage.sumUsage(account, wallMs, (one) => one === name);
				const reportedAtMs = peerUsage.reportedAtMs(name, account) ?? wallMs;
				const silentMs = Math.min(wallMs - reportedAtMs, wallMs % minuteMs);
				const expected = (0.9 * view.tokensPerSecond * silentMs) / 1000;
				invariants.check(
					'contract-floor',
					view.estimatedTokens >= view.reportedTokens + expected,
					() =>
						`${vm.address.name} counts ${view.estimatedTokens} tokens of ${account} for silent ${name}`,
				);
			}
		}
	};

	/** What a VM counts for others never exceeds what they delivered, and lags by a bounded time. */
	const checkViews = () => {
		const sinceMs = time.nowMs() - maxReportAgeMs;
		// What a killed VM had not reported yet stays unknown for the rest of the minute.
		const quietMs = maxReportAgeMs + (time.wallMs() % minuteMs);
		const isQuiet = fleet.vms.every((vm) => isHealthyFor(vm, quietMs));
		for (const vm of fleet.vms) {
			if (vm.state !== 'running') {
				continue;
			}

			checkSilent(vm);
			const {name} = vm.address;
			for (const account of Object.keys(loadContracts)) {
				const view = vm.node.peerUsage.sumUsage(account, time.wallMs());
				const truth = load.deliveredTokens(account, time.nowMs(), name);
				invariants.check(
					'contract-floor',
					view.reportedTokens <= truth + fleet.vms.length,
					() =>
						`${name} counts ${view.reportedTokens} of ${truth} tokens of ${account}`,
				);
				const earlier = load.deliveredTokens(account, sinceMs, name);
				if (isHealthyFor(vm, maxReportAgeMs)) {
					const unreportedTokens =
						maxUnreportedFraction *
						loadContracts[account].ceilingTokensPerMinute;
					const known = load.reportedTokens(account, sinceMs, name);
					invariants.check(
						'contract-floor',
						view.estimatedTokens >= 0.5 * known - unreportedTokens,
						() =>
							`${name} counts ${view.estimatedTokens} against the ceiling of ${account}, others used ${known}`,
					);
				}

				if (isQuiet) {
					invariants.check(
						'contract-floor',
						view.reportedTokens >= earlier - fleet.vms.length,
						() =>
							`${name} counts ${view.reportedTokens} tokens of ${account} long after ${earlier} were delivered`,
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
					() => `${vm.address.name} does not know that ${targetId} leaves`,
				);
			}
		}
	};

	return {
		recordDisruption(vm, durationMs) {
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
			const instanceId = `${entry.name}-${++replacements}`;
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
							() => `${one.address.name} lacks version ${version}`,
						);
					}
				}
			});
		},
		checkEverySecond() {
			checkVersions();
			checkViews();
		},
		checkFinalState() {
			checkVersions();
			checkViews();
			for (const vm of fleet.vms) {
				const {name} = vm.address;
				invariants.check(
					'configuration',
					vm.follower.current.version === fleet.changes.length,
					() => `${name} lacks the last version`,
				);
				for (const targetId of vm.node.leavingTargets.targetIds) {
					const current = fleet.targetVms.find((one) => one.name === targetId);
					context.trace(`${name}: ${targetId} ${current?.instanceId} leaves`);
				}
			}
		},
	};
}
