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

/** What a coordinator needs from its surroundings. */
export type OrderCoordinatorOptions = Omit<
	CommandPlannerOptions,
	'onHeldBack' | 'readReport'
> & {
	/** Instance of this VM, as the VM list names it. */
	readonly vmInstanceId: string;
	/** Tells this run of the process from others. */
	readonly incarnation: string;
	readonly settings: () => LeaseSettings;
	/** VMs that watch each target's lease. */
	readonly candidatesPerTarget: () => number;
	readonly targets: () => ReadonlyMap<string, TargetDescription>;
	readonly engineFor: (
		targetId: string,
	) => Pick<Engine, 'order' | 'loadReport'> | undefined;
	readonly peers: LeasePeers;
	readonly decisions?: LeaseDecisions;
	readonly onRecord: (record: LeaseExplainEntry) => void;
	readonly onCount: (name: string, labels: Record<string, string>) => void;
};

/** Holds leases and gives commands on behalf of one entry VM. */
export type OrderCoordinator = {
	readonly heldCount: number;
	/** Commands in flight on the leases that this VM holds. */
	readonly inFlightCount: number;
	/** Does what is due. Calls while one runs return at once. */
	tick(): Promise<void>;
	/** Takes in a VM list; older ones are ignored. */
	recordVmList(snapshot: VmListSnapshot): void;
	/** Answers a later holder of a lease. */
	confirmStop(question: StopRequest): StopResponse;
	/** Takes no more leases and gives up those without a command in flight. */
	startDraining(): void;
};

/** Creates a coordinator that holds nothing until it has seen its own VM in the VM list. */
export function createOrderCoordinator(
	options: OrderCoordinatorOptions,
): OrderCoordinator {
	const {clock} = options;
	const decisions = options.decisions ?? leaseDecisions;
	let list: VmListSnapshot = {sequence: -1, vms: []};
	let running = false;
	let retired = false;
	let lastRoundMs = Number.NEGATIVE_INFINITY;

	const keeperOptions: LeaseTrackerOptions = {
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
	const tracker = createLeaseTracker(keeperOptions);
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
		onHeldBack(order, reason) {
			options.onCount('orders_held_back', {reason});
			options.onRecord({
				subject: order.targetId,
				cause: order.cause,
				result: `${order.kind} ${order.model} put off: ${reason}`,
			});
		},
	});

	const calls = createHolderRequests({
		...options,
		tracker,
		requireEngine,
		vmList: () => list,
	});

	// Ranks depend on few inputs that seldom change; computing them costs a hash for each target and VM.
	let watched: readonly unknown[] = [];
	const watchTargets = () => {
		const targets = options.targets();
		const inputs = [targets, list, retired, options.candidatesPerTarget()];
		if (inputs.every((input, index) => input === watched[index])) {
			return;
		}

		watched = inputs;
		const spread = createLeaseRanking(
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
				retired || target.kind !== 'engine'
					? undefined
					: spread.rankFor(target);
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

	const announceNext = async () => {
		const isFree = (targetId: string) => {
			const state = tracker.states.get(targetId);
			return (
				state !== undefined &&
				decisions.mayIssueCommand(state, clock.nowMs(), options.settings())
			);
		};

		const recordOf = (targetId: string) =>
			tracker.states.get(targetId)!.record!;
		// A view from before the end of the last command does not show what that command did.
		const isFreeByView = ({target, seenMs}: EngineView) =>
			isFree(target.id) && seenMs >= tracker.states.get(target.id)!.freeSinceMs;

		// The budget's row can change once in a transaction, so commands are announced one by one.
		for (const order of planner.plan(isFreeByView, recordOf)) {
			try {
				const before = recordOf(order.targetId);
				const write = await planner.prepareIntent(order, before);
				if (
					write &&
					isFree(order.targetId) &&
					recordOf(order.targetId) === before
				) {
					await tracker.commit(write);
				}
			} catch (error) {
				options.onCount('lease_table_errors', {type: toProblem(error).type});
			}
		}
	};

	const carryOut = async () => {
		const waits: Array<Promise<void>> = [];
		for (const targetId of tracker.heldTargetIds()) {
			const action = tracker.decide(targetId);
			if (action.kind === 'send') {
				// Not awaited: a target that does not answer must not delay renewals.
				void calls.send(targetId, action);
			} else if (action.kind === 'ask') {
				waits.push(calls.checkPredecessor(targetId, action.holder));
			}

			if (tracker.states.get(targetId)?.record?.intent) {
				waits.push(calls.readReport(targetId));
			}
		}

		await Promise.all(waits);
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
				const withAll = nowMs - lastRoundMs >= options.settings().renewalMs;
				lastRoundMs = withAll ? nowMs : lastRoundMs;
				await tracker.syncRows(withAll, amend);
				await announceNext();
				await carryOut();
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
			retired = true;
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
