import type {
	Clock,
	LoadReport,
	TableService,
	TargetDescription,
} from '../../common/index.js';
import type {LeaseWrite} from './lease-tracker.js';
import {withIntent} from './lease-record.js';
import {
	type EngineView,
	needsReplica,
	isLive,
	type ModelDemand,
	type ReplicaHistory,
	type ModelSettings,
	type PlacementSettings,
	type PlannedCommand,
	planModels,
	planRepair,
} from './placement/index.js';
import type {LeaseRecord} from './types.js';
import {
	keepsEnoughReplicas,
	parsePendingUnloads,
	pendingUnloadsKey,
	pendingUnloadsValue,
} from './pending-unloads.js';
import {
	debitWeightBudget,
	parseWeightBudget,
	weightBudgetKey,
	type WeightBudgetSettings,
} from './weight-budget.js';

/** Options of a command planner. */
export type CommandPlannerOptions = {
	readonly table: TableService;
	readonly clock: Clock;
	readonly placement: () => PlacementSettings;
	readonly weights: () => WeightBudgetSettings;
	/** Settings by model. */
	readonly models: () => ReadonlyMap<string, ModelSettings>;
	/** Demand by model. */
	readonly demand: () => ReadonlyMap<string, ModelDemand>;
	/** Last known state of all engines. */
	readonly engines: () => readonly EngineView[];
	/** Requests a load report from an engine. */
	readonly readReport: (target: TargetDescription) => Promise<LoadReport>;
	/** Size of a model's weights in the weight store, in bytes. */
	readonly sizeBytes: (model: string, version: string) => Promise<number>;
	readonly createCommandId: () => string;
	/** Replica check before an unload; replaced by tests only. */
	readonly copyCheck?: typeof keepsEnoughReplicas;
	/** Called when a planned command is deferred to a later plan. */
	readonly onDeferred: (
		command: PlannedCommand,
		reason: 'weight-budget' | 'last-copy',
	) => void;
};

/** Plans commands and prepares the transactions that write their intents. */
export type CommandPlanner = {
	/**
	 * Plans commands for the targets that may get one: repairs first, then changes for the demand.
	 * @param isAvailable - whether this VM may issue a command to the target and the view is current
	 * @param recordOf - returns the lease record of such a target
	 */
	plan(
		isAvailable: (view: EngineView) => boolean,
		recordOf: (targetId: string) => LeaseRecord,
	): readonly PlannedCommand[];
	/**
	 * Prepares the write of a command's intent. The same transaction debits the weight budget for a
	 * load, or adds the target to the pending unloads for an unload.
	 * @returns undefined if the command is deferred
	 */
	prepareIntent(
		command: PlannedCommand,
		record: LeaseRecord,
	): Promise<LeaseWrite | undefined>;
	/** Removes a completed unload from the pending unloads, in the write that clears its intent. */
	amendClear(
		write: LeaseWrite,
		before: LeaseRecord | undefined,
	): Promise<LeaseWrite>;
};

export function createCommandPlanner(
	options: CommandPlannerOptions,
): CommandPlanner {
	const {table, clock, copyCheck = keepsEnoughReplicas} = options;
	let history: ReadonlyMap<string, ReplicaHistory> = new Map();

	const intentWrite = (
		command: PlannedCommand,
		record: LeaseRecord,
	): LeaseWrite => ({
		targetId: command.targetId,
		purpose: 'intent',
		record: withIntent(record, {
			commandId: options.createCommandId(),
			order: {
				kind: command.kind,
				name: command.model,
				version: command.version,
			},
			cause: command.cause,
		}),
	});

	const prepareLoad = async (command: PlannedCommand, record: LeaseRecord) => {
		const sizeBytes = await options.sizeBytes(command.model, command.version);
		const row = await table.get(weightBudgetKey);
		const wallMs = clock.wallMs();
		const weights = options.weights();
		const budget = debitWeightBudget(
			parseWeightBudget(row, wallMs, weights),
			sizeBytes,
			wallMs,
			weights,
		);
		if (!budget) {
			options.onDeferred(command, 'weight-budget');
			return undefined;
		}

		return {
			...intentWrite(command, record),
			checks: [{key: weightBudgetKey, version: row?.version ?? 0}],
			writes: [{key: weightBudgetKey, value: JSON.stringify(budget)}],
		};
	};

	// Views may be old, and several VMs may unload at the same time. So the reports of the remaining
	// replicas are read after the row of pending unloads, whose version the transaction checks.
	const readLiveReplicas = async (
		command: PlannedCommand,
	): Promise<string[]> => {
		const views = options
			.engines()
			.filter(
				(view) =>
					view.target.id !== command.targetId &&
					view.models.includes(command.model) &&
					isLive(view, clock.nowMs(), options.placement()),
			);
		const reports = await Promise.allSettled(
			views.map(async (view) => options.readReport(view.target)),
		);
		return views
			.filter((_, index) => {
				const report = reports[index];
				return (
					report.status === 'fulfilled' &&
					!report.value.leaving &&
					report.value.models.includes(command.model)
				);
			})
			.map((view) => view.target.id);
	};

	const prepareUnload = async (
		command: PlannedCommand,
		record: LeaseRecord,
	) => {
		const key = pendingUnloadsKey(command.model);
		const row = await table.get(key);
		const pending = parsePendingUnloads(row);
		const model = options.models().get(command.model)!;
		const demand = options.demand().get(command.model) ?? {
			tokensPerSecond: 0,
			queueLength: 0,
		};
		const requiredCount = needsReplica(demand, model)
			? Math.max(1, model.minCopies)
			: 0;
		const live = await readLiveReplicas(command);
		if (!copyCheck(pending, command.targetId, live, requiredCount)) {
			options.onDeferred(command, 'last-copy');
			return undefined;
		}

		return {
			...intentWrite(command, record),
			checks: [{key, version: row?.version ?? 0}],
			writes: [
				{key, value: pendingUnloadsValue(pending, {add: command.targetId})},
			],
		};
	};

	return {
		plan(isAvailable, recordOf) {
			const engines = options.engines();
			const available = engines.filter((view) => isAvailable(view));
			const repairs = available.flatMap((view) =>
				planRepair(view, recordOf(view.target.id).wantedModels),
			);
			const repairedIds = new Set(repairs.map((command) => command.targetId));
			const availableIds = new Set(
				available
					.map((view) => view.target.id)
					.filter((targetId) => !repairedIds.has(targetId)),
			);
			const plan = planModels({
				models: options.models(),
				demand: options.demand(),
				engines,
				history,
				settings: options.placement(),
				isAvailable: (targetId) => availableIds.has(targetId),
				nowMs: clock.nowMs(),
			});
			history = plan.history;
			return [...repairs, ...plan.commands];
		},
		async prepareIntent(command, record) {
			return command.kind === 'load-model'
				? prepareLoad(command, record)
				: prepareUnload(command, record);
		},
		async amendClear(write, before) {
			const order = before?.intent?.order;
			if (order?.kind !== 'unload-model') {
				return write;
			}

			const key = pendingUnloadsKey(order.name);
			const row = await table.get(key);
			if (!row) {
				return write;
			}

			const value = pendingUnloadsValue(parsePendingUnloads(row), {
				remove: write.targetId,
			});
			return {
				...write,
				checks: [{key, version: row.version}],
				writes: [{key, value}],
			};
		},
	};
}
