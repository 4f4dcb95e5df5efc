import {
	type Engine,
	type LeaseHolder,
	type LeasePeers,
	ProblemError,
	type StopResponse,
	type StopRequest,
	type TargetDescription,
	toProblem,
	type VmListSnapshot,
} from '../../common/index.js';
import {
	type CommandPlannerOptions,
	createCommandPlanner,
} from './command-planner.js';
import {
	createLeaseTracker,
	type LeaseTrackerOptions,
	type LeaseWrite,
} from './lease-tracker.js';
import {createHolderRequests} from './holder-requests.js';
import {createLeaseRanking} from './lease-ranking.js';
import type {EngineView} from './placement/index.js';
import {leaseDecisions} from './lease-machine.js';
import type {
	LeaseDecisions,
	LeaseSettings,
	LeaseExplainEntry,
} from './types.js';

/** Options of an order coordinator. */
export type OrderCoordinatorOptions = Omit<
	CommandPlannerOptions,
	'onDeferred' | 'readReport'
> & {
	/** Instance of this VM, as the VM list names it. */
	readonly vmInstanceId: string;
	/** Identifies this process among those that ran on the same VM. */
	readonly incarnation: string;
	readonly settings: () => LeaseSettings;
	/** Number of VMs that watch each target's lease. */
	readonly candidatesPerTarget: () => number;
	readonly targets: () => ReadonlyMap<string, TargetDescription>;
	readonly engineFor: (
		targetId: string,
	) => Pick<Engine, 'order' | 'loadReport'> | undefined;
	readonly peers: LeasePeers;
	/** Replaced by tests only. */
	readonly decisions?: LeaseDecisions;
	/** Called with every entry for the explain log. */
	readonly onRecord: (record: LeaseExplainEntry) => void;
	/** Called to increment the counter of that name. */
	readonly onCount: (name: string, labels: Record<string, string>) => void;
};

/**
 * Acquires leases of targets for one entry VM and sends commands to the targets whose lease it holds.
 */
export type OrderCoordinator = {
	/** Leases that this VM holds. */
	readonly heldCount: number;
	/** Commands in flight on the leases that this VM holds. */
	readonly inFlightCount: number;
	/**
	 * Syncs the lease rows, issues planned commands and sends requests. Returns at once while an
	 * earlier call is running.
	 */
	tick(): Promise<void>;
	/** Updates the VM list; a list that is not newer than the known one is ignored. */
	recordVmList(snapshot: VmListSnapshot): void;
	/** Handles the stop request of a later holder: sends no more commands under older numbers. */
	confirmStop(request: StopRequest): StopResponse;
	/** Stops acquiring leases; later ticks release the leases that have no command in flight. */
	startDraining(): void;
};

/** Creates a coordinator; it acquires no lease before its own VM is in the VM list. */
export function createOrderCoordinator(
	options: OrderCoordinatorOptions,
): OrderCoordinator {
	const {clock} = options;
	const decisions = options.decisions ?? leaseDecisions;
	let list: VmListSnapshot = {sequence: -1, vms: []};
	let running = false;
	let draining = false;
	let lastRefreshMs = Number.NEGATIVE_INFINITY;

	const trackerOptions: LeaseTrackerOptions = {
		table: options.table,
		clock,
		decisions,
		settings: options.settings,
		onWrite(targetId, purpose, before, after) {
			options.onCount('lease_writes', {purpose});
			const intent = after.intent ?? before?.intent;
			if (purpose !== 'renew') {
				options.onRecord({
					subject: targetId,
					cause: intent?.cause ?? 'lease',
					result: intent
						? `${purpose} ${intent.order.kind} ${intent.order.name} under number ${after.fencingNumber}`
						: `${purpose} under number ${after.fencingNumber}`,
				});
			}
		},
		onTableProblem(type) {
			options.onCount('lease_table_errors', {type});
		},
	};
	const tracker = createLeaseTracker(trackerOptions);
	const requireEngine = (targetId: string) => {
		const engine = options.engineFor(targetId);
		if (!engine) {
			throw new ProblemError(
				'target-unavailable',
				`target "${targetId}" has no client`,
			);
		}

		return engine;
	};

	const planner = createCommandPlanner({
		...options,
		readReport: async (target) => requireEngine(target.id).loadReport(),
		onDeferred(command, reason) {
			options.onCount('orders_held_back', {reason});
			options.onRecord({
				subject: command.targetId,
				cause: command.cause,
				result: `${command.kind} ${command.model} put off: ${reason}`,
			});
		},
	});

	const requests = createHolderRequests({
		...options,
		tracker,
		requireEngine,
		vmList: () => list,
	});

	// Ranks depend only on these inputs, which seldom change. They are cached, since computing them takes
	// one hash for each pair of a target and a VM.
	let rankInputs: readonly unknown[] = [];
	const watchTargets = () => {
		const targets = options.targets();
		const inputs = [targets, list, draining, options.candidatesPerTarget()];
		if (inputs.every((input, index) => input === rankInputs[index])) {
			return;
		}

		rankInputs = inputs;
		const ranking = createLeaseRanking(
			list.vms,
			options.vmInstanceId,
			options.candidatesPerTarget(),
		);
		const self: LeaseHolder = {
			vmInstanceId: options.vmInstanceId,
			incarnation: options.incarnation,
			listSequence: list.sequence,
		};
		for (const [id, target] of targets) {
			const rank =
				draining || target.kind !== 'engine'
					? undefined
					: ranking.rankFor(target);
			if (rank === undefined) {
				tracker.unwatch(id);
			} else {
				tracker.watch(id, self, target.fencing, rank);
			}
		}

		for (const id of tracker.states.keys()) {
			if (!targets.has(id)) {
				tracker.unwatch(id);
			}
		}
	};

	const amend = async (write: LeaseWrite): Promise<LeaseWrite | undefined> => {
		if (write.purpose !== 'clear') {
			return write;
		}

		try {
			const {record} = tracker.states.get(write.targetId)!;
			return await planner.amendClear(write, record);
		} catch (error) {
			options.onCount('lease_table_errors', {type: toProblem(error).type});
			return undefined;
		}
	};

	const issuePlanned = async () => {
		const mayIssueCommand = (targetId: string) => {
			const state = tracker.states.get(targetId);
			return (
				state !== undefined &&
				decisions.mayIssueCommand(state, clock.nowMs(), options.settings())
			);
		};

		const recordOf = (targetId: string) =>
			tracker.states.get(targetId)!.record!;
		// A view that is older than the end of the last command does not show the result of that command.
		const isAvailable = ({target, seenMs}: EngineView) =>
			mayIssueCommand(target.id) &&
			seenMs >= tracker.states.get(target.id)!.freeSinceMs;

		// Commands are issued one at a time, since a transaction can write the budget's row only once.
		for (const command of planner.plan(isAvailable, recordOf)) {
			try {
				const before = recordOf(command.targetId);
				const write = await planner.prepareIntent(command, before);
				if (
					write &&
					mayIssueCommand(command.targetId) &&
					recordOf(command.targetId) === before
				) {
					await tracker.commit(write);
				}
			} catch (error) {
				options.onCount('lease_table_errors', {type: toProblem(error).type});
			}
		}
	};

	const performActions = async () => {
		const pending: Array<Promise<void>> = [];
		for (const targetId of tracker.heldTargetIds()) {
			const action = tracker.decide(targetId);
			if (action.kind === 'send') {
				// Not awaited, so that a target that does not respond cannot delay lease renewals.
				void requests.send(targetId, action);
			} else if (action.kind === 'ask') {
				pending.push(requests.checkPredecessor(targetId, action.holder));
			}

			if (tracker.states.get(targetId)?.record?.intent) {
				pending.push(requests.readReport(targetId));
			}
		}

		await Promise.all(pending);
	};

	return {
		async tick() {
			if (running) {
				return;
			}

			running = true;
			try {
				watchTargets();
				const nowMs = clock.nowMs();
				const isRefreshDue =
					nowMs - lastRefreshMs >= options.settings().renewalMs;
				lastRefreshMs = isRefreshDue ? nowMs : lastRefreshMs;
				await tracker.syncRows(isRefreshDue, amend);
				await issuePlanned();
				await performActions();
			} finally {
				running = false;
			}
		},
		recordVmList(snapshot) {
			if (snapshot.sequence > list.sequence) {
				list = snapshot;
			}
		},
		confirmStop({targetId, holder, fencingNumber}) {
			if (holder.vmInstanceId !== options.vmInstanceId) {
				return 'busy';
			}

			if (holder.incarnation !== options.incarnation) {
				return 'gone';
			}

			tracker.apply(targetId, {type: 'stop-asked', fencingNumber});
			const state = tracker.states.get(targetId);
			const settings = options.settings();
			return !state || decisions.hasStopped(state, clock.nowMs(), settings)
				? 'stopped'
				: 'busy';
		},
		startDraining() {
			draining = true;
		},
		get heldCount() {
			return tracker.heldTargetIds().length;
		},
		get inFlightCount() {
			return tracker
				.heldTargetIds()
				.filter((id) => tracker.states.get(id)?.record?.intent).length;
		},
	};
}
