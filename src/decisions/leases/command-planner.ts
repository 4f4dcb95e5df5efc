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

/** What a planner needs from its surroundings. */
export type CommandPlannerOptions = {
	readonly table: TableService;
	readonly clock: Clock;
	readonly placement: () => PlacementSettings;
	readonly weights: () => WeightBudgetSettings;
	readonly models: () => ReadonlyMap<string, ModelSettings>;
	readonly demand: () => ReadonlyMap<string, ModelDemand>;
	readonly engines: () => readonly EngineView[];
	/** Reads an engine's load report now. */
	readonly readReport: (target: TargetDescription) => Promise<LoadReport>;
	readonly sizeBytes: (model: string, version: string) => Promise<number>;
	readonly createCommandId: () => string;
	readonly copyCheck?: typeof keepsEnoughReplicas;
	/** Called when a planned command is put off. */
	readonly onHeldBack: (
		order: PlannedCommand,
		reason: 'weight-budget' | 'last-copy',
	) => void;
};

/** Chooses commands and prepares the transactions that announce them. */
export type CommandPlanner = {
	/**
	 * Commands wanted now for the targets that are free: repairs first, then changes for the demand.
	 * @param isFree - whether this VM may give a target a command, judged by a view that is new enough
	 * @param recordOf - lease row of a target that is free
	 */
	plan(
		isFree: (view: EngineView) => boolean,
		recordOf: (targetId: string) => LeaseRecord,
	): readonly PlannedCommand[];
	/**
	 * Prepares the write of a command's intent, with the debit of a load's weights or the copy check
	 * of an unload in the same transaction.
	 * @returns undefined if the command has to wait
	 */
	prepareIntent(
		order: PlannedCommand,
		record: LeaseRecord,
	): Promise<LeaseWrite | undefined>;
	/** Adds the end of an unload to the write that clears its intent. */
	amendClear(
		write: LeaseWrite,
		before: LeaseRecord | undefined,
	): Promise<LeaseWrite>;
};

/** Creates a planner. */
export function createCommandPlanner(
	options: CommandPlannerOptions,
): CommandPlanner {
	const {table, clock, copyCheck = keepsEnoughReplicas} = options;
	let history: ReadonlyMap<string, ReplicaHistory> = new Map();

	const intentWrite = (
		order: PlannedCommand,
		record: LeaseRecord,
	): LeaseWrite => ({
		targetId: order.targetId,
		purpose: 'intent',
		record: withIntent(record, {
			commandId: options.createCommandId(),
			order: {kind: order.kind, name: order.model, version: order.version},
			cause: order.cause,
		}),
	});

	const announceLoad = async (order: PlannedCommand, record: LeaseRecord) => {
		const sizeBytes = await options.sizeBytes(order.model, order.version);
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
			options.onHeldBack(order, 'weight-budget');
			return undefined;
		}

		return {
			...intentWrite(order, record),
			checks: [{key: weightBudgetKey, version: row?.version ?? 0}],
			writes: [{key: weightBudgetKey, value: JSON.stringify(budget)}],
		};
	};

	// Views may be old, and several VMs may unload at once: the copies that stay are asked directly,
	// after the row was read whose version the transaction checks.
	const readLiveCopies = async (order: PlannedCommand): Promise<string[]> => {
		const views = options
			.engines()
			.filter(
				(view) =>
					view.target.id !== order.targetId &&
					view.models.includes(order.model) &&
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
					report.value.models.includes(order.model)
				);
			})
			.map((view) => view.target.id);
	};

	const announceUnload = async (order: PlannedCommand, record: LeaseRecord) => {
		const key = pendingUnloadsKey(order.model);
		const row = await table.get(key);
		const ledger = parsePendingUnloads(row);
		const model = options.models().get(order.model)!;
		const demand = options.demand().get(order.model) ?? {
			tokensPerSecond: 0,
			queueLength: 0,
		};
		const keptCount = needsReplica(demand, model)
			? Math.max(1, model.minCopies)
			: 0;
		const live = await readLiveCopies(order);
		if (!copyCheck(ledger, order.targetId, live, keptCount)) {
			options.onHeldBack(order, 'last-copy');
			return undefined;
		}

		return {
			...intentWrite(order, record),
			checks: [{key, version: row?.version ?? 0}],
			writes: [
				{key, value: pendingUnloadsValue(ledger, {add: order.targetId})},
			],
		};
	};

	return {
		plan(isFree, recordOf) {
			const engines = options.engines();
			const free = engines.filter((view) => isFree(view));
			const repairs = free.flatMap((view) =>
				planRepair(view, recordOf(view.target.id).wantedModels),
			);
			const repaired = new Set(repairs.map((order) => order.targetId));
			const freeIds = new Set(
				free
					.map((view) => view.target.id)
					.filter((targetId) => !repaired.has(targetId)),
			);
			const plan = planModels({
				models: options.models(),
				demand: options.demand(),
				engines,
				history,
				settings: options.placement(),
				isAvailable: (targetId) => freeIds.has(targetId),
				nowMs: clock.nowMs(),
			});
			history = plan.memory;
			return [...repairs, ...plan.commands];
		},
		async prepareIntent(order, record) {
			return order.kind === 'load-model'
				? announceLoad(order, record)
				: announceUnload(order, record);
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
