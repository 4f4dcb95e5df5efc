import {
	type AdmittedRequest,
	type EngineCandidate,
	type TargetDirectory,
	type TargetLoad,
	chooseBackup,
	chooseEngine,
	chooseServiceTarget,
	type StreamPlacement,
	type StreamRun,
	type RunAccount,
	negateLoad,
	type LoadShare,
} from '../../decisions/serving/index.js';
import type {OutlierDetector} from '../../decisions/retries/index.js';
import type {LengthStatistics} from '../../decisions/routing/index.js';
import type {
	Disposable,
	RandomSource,
	TargetEntry,
} from '../../common/index.js';

/** Chooses targets from what this VM knows of them, and counts what it sends. */
export type FleetView = {
	/** Sets the memory of the engines of a service, in tokens. */
	setCapacity(service: string, capacityTokens: number): void;
	chooseTarget(
		service: string,
		avoid: ReadonlySet<string>,
	): TargetEntry | undefined;
	openedCall(target: TargetEntry): Disposable;
	placeStream(
		admitted: AdmittedRequest,
		avoid: ReadonlySet<string>,
	): StreamPlacement | undefined;
	placeCopy(
		admitted: AdmittedRequest,
		from: TargetEntry,
		avoid: ReadonlySet<string>,
	): TargetEntry | undefined;
	placeBackup(
		admitted: AdmittedRequest,
		targetId: string,
	): TargetEntry | undefined;
	openedStream(run: StreamRun): RunAccount;
	finishedStream(admitted: AdmittedRequest, eventCount: number): void;
	/** Expected length of an answer, in tokens. */
	expectedOutputTokens(admitted: AdmittedRequest): number;
};

/** What the view is made from. */
export type FleetViewOptions = {
	readonly availabilityZone: string;
	readonly directory: TargetDirectory;
	readonly load: TargetLoad;
	readonly detector: OutlierDetector;
	readonly statistics: LengthStatistics;
	readonly random: RandomSource;
	/** Cost of an engine outside this VM's zone, in milliseconds. */
	readonly otherZoneCostMs: () => number;
	/** Called after a generation was placed. */
	readonly onPlaced: () => void;
};

/** Memory of an engine of both deployments, from their sheets, until one reports its own. */
const defaultCapacityTokens = 34_000;
/** Cost of a copy between zones, which takes twice as long as one inside, in milliseconds. */
const otherZoneCopyCostMs = 250;
/** Tokens in one event of a stream, from the sheets. */
const tokensPerEvent = 4;
/** Generations shorter than this end before a copy of their memory would be of use. */
const minBackupOutputTokens = 100;
/** Weight of the caller's length hint against the lengths seen; its error is the larger one. */
const hintWeight = 0.33;

const call: LoadShare = {
	openCount: 1,
	memoryTokens: 0,
	pendingPromptTokens: 0,
	growthTokens: 0,
};

/** Creates the view of a VM. */
export function createFleetView(options: FleetViewOptions): FleetView {
	const {directory, load, detector, random, availabilityZone, statistics} =
		options;
	const capacities = new Map<string, number>();

	const expectedOutputTokens = ({request, route, account}: AdmittedRequest) => {
		const demand = request.generation;
		if (!demand) {
			return 0;
		}

		const maxTokens = demand.maxOutputTokens || Infinity;
		const seen = statistics
			.distribution(account ?? '', route.name, demand.model)
			.expectedRemaining(0, maxTokens);
		const hint = demand.lengthHintTokens;
		const mixed =
			hint === undefined ? seen : seen ** (1 - hintWeight) * hint ** hintWeight;
		return Math.min(maxTokens, mixed);
	};

	const engineCandidates = (
		service: string,
		avoid: ReadonlySet<string>,
	): EngineCandidate[] => {
		const excluded = detector.excluded(service);
		return directory
			.usable(service)
			.filter(({entry}) => !avoid.has(entry.id))
			.map(({entry}) => ({
				targetId: entry.id,
				availabilityZone: entry.availabilityZone,
				slotCount: entry.slotCount,
				capacityTokens: capacities.get(service) ?? defaultCapacityTokens,
				load: load.of(entry.id),
				suspect: excluded.has(entry.id),
			}));
	};

	/** Engines that can keep a copy of a run's memory now. */
	const keeperCandidates = (service: string, avoid: ReadonlySet<string>) =>
		engineCandidates(service, avoid).filter(
			({targetId}) => !directory.isDown(targetId),
		);

	const neededTokens = (admitted: AdmittedRequest) =>
		(admitted.request.generation?.promptTokens ?? 0) +
		expectedOutputTokens(admitted);

	const entryOf = (targetId: string | undefined) =>
		targetId === undefined ? undefined : directory.get(targetId)?.entry;

	const backupFor = (
		admitted: AdmittedRequest,
		targetId: string,
		candidates: readonly EngineCandidate[],
	) =>
		expectedOutputTokens(admitted) < minBackupOutputTokens
			? undefined
			: entryOf(
					chooseBackup(
						candidates,
						targetId,
						neededTokens(admitted),
						directory.get(targetId)?.entry.availabilityZone ?? '',
					),
				);

	return {
		expectedOutputTokens,
		setCapacity(service, capacityTokens) {
			capacities.set(service, capacityTokens);
		},
		chooseTarget(service, avoid) {
			const excluded = detector.excluded(service);
			const chosen = chooseServiceTarget(
				directory.usable(service).map(({entry}) => ({
					targetId: entry.id,
					availabilityZone: entry.availabilityZone,
					slotCount: entry.slotCount,
					openCount: load.of(entry.id).openCount,
					suspect: excluded.has(entry.id),
				})),
				availabilityZone,
				avoid,
				random,
			);
			return entryOf(chosen?.targetId);
		},
		openedCall(target) {
			load.add(target.id, call);
			detector.sent(target.id);
			return {
				dispose() {
					load.add(target.id, negateLoad(call));
				},
			};
		},
		placeStream(admitted, avoid) {
			const candidates = engineCandidates(admitted.service, avoid);
			const choice = chooseEngine(
				candidates,
				{
					promptTokens: admitted.request.generation?.promptTokens ?? 0,
					expectedOutputTokens: expectedOutputTokens(admitted),
					nearZone: availabilityZone,
					otherZoneCostMs: options.otherZoneCostMs(),
				},
				random,
			);
			const target = entryOf(choice?.targetId);
			return choice && target
				? {
						target,
						backup: backupFor(
							admitted,
							target.id,
							keeperCandidates(admitted.service, avoid),
						),
						firstTokenMs: choice.firstTokenMs,
						memoryPart: choice.memoryPart,
						capacityTokens:
							capacities.get(admitted.service) ?? defaultCapacityTokens,
					}
				: undefined;
		},
		placeCopy(admitted, from, avoid) {
			const choice = chooseEngine(
				keeperCandidates(admitted.service, avoid),
				{
					promptTokens: admitted.request.generation?.promptTokens ?? 0,
					expectedOutputTokens: expectedOutputTokens(admitted),
					nearZone: from.availabilityZone,
					otherZoneCostMs: otherZoneCopyCostMs,
				},
				random,
			);
			return entryOf(choice?.targetId);
		},
		placeBackup(admitted, targetId) {
			return backupFor(
				admitted,
				targetId,
				keeperCandidates(admitted.service, new Set()),
			);
		},
		openedStream({admitted, target, backup, eventCount}) {
			const promptTokens = admitted.request.generation?.promptTokens ?? 0;
			const outputTokens = expectedOutputTokens(admitted);
			const shareAt = (events: number): LoadShare => ({
				openCount: 1,
				memoryTokens: promptTokens + events * tokensPerEvent,
				pendingPromptTokens: events === 0 ? promptTokens : 0,
				growthTokens: Math.max(
					outputTokens / 4,
					outputTokens - events * tokensPerEvent,
				),
			});
			const copyAt = (events: number): LoadShare => ({
				openCount: 0,
				memoryTokens: promptTokens + events * tokensPerEvent,
				pendingPromptTokens: 0,
				growthTokens: 0,
			});
			let share = shareAt(eventCount);
			let copy = copyAt(eventCount);
			load.add(target.id, share);
			if (backup) {
				load.add(backup.id, copy);
			}

			detector.sent(target.id);
			options.onPlaced();
			return {
				progressed(events) {
					load.add(target.id, negateLoad(share));
					share = shareAt(events);
					load.add(target.id, share);
					if (backup) {
						load.add(backup.id, negateLoad(copy));
						copy = copyAt(events);
						load.add(backup.id, copy);
					}
				},
				dispose() {
					load.add(target.id, negateLoad(share));
					if (backup) {
						load.add(backup.id, negateLoad(copy));
					}
				},
			};
		},
		finishedStream({request, route, account}, eventCount) {
			if (request.generation) {
				statistics.record(
					account ?? '',
					route.name,
					request.generation.model,
					eventCount * tokensPerEvent,
				);
			}
		},
	};
}
