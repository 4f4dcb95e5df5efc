import {createEmitter} from '../../common/index.js';
import {
	createTableStatuses,
	isAnyTableLost,
	readStateOf,
} from './store-watch-status.js';
import {watchOperatorTable} from './store-watch-operator.js';
import {watchTargetsTable} from './store-watch-targets.js';
import type {StoreWatch, StoreWatchOptions} from './store-watch-types.js';

/**
 * Time for which a VM that starts from an older copy of the store waits for the tables of a peer before it is
 * ready, in milliseconds. Where no other VM has tables, as after a restart of all, nothing more is known.
 */
const maxComparisonMs = 2000;

/** Starts to follow the operator's table and the targets' table. */
export function watchStore(options: StoreWatchOptions): StoreWatch {
	const statuses = createTableStatuses();
	const readState = () => readStateOf(statuses, options.isStoreReader);
	const tableOptions = {
		...options,
		statuses,
		isReader: () => options.isStoreReader(readState()),
	};
	const operator = watchOperatorTable(tableOptions);
	const targets = watchTargetsTable(tableOptions);
	let isAwaitingPeer = true;
	const needsPeerComparison = () => {
		const {startedFromCopyMs = -Infinity} = operator;
		return (
			isAwaitingPeer &&
			options.clock.nowMs() < startedFromCopyMs + maxComparisonMs
		);
	};

	const confirmed = createEmitter<void>();
	for (const {sync} of [operator, targets]) {
		sync.onConfirmed(confirmed.fire);
	}

	return {
		get isLoaded() {
			return (
				targets.hasTargets &&
				options.configuration.current !== undefined &&
				!needsPeerComparison()
			);
		},
		get readState() {
			return readState();
		},
		get isStoreLost() {
			return isAnyTableLost(statuses);
		},
		get hasTargets() {
			return targets.hasTargets;
		},
		get lastAttemptMs() {
			return Math.min(
				statuses.operator === 'lost' ? operator.lastAttemptMs : Infinity,
				statuses.targets === 'lost' ? targets.lastAttemptMs : Infinity,
			);
		},
		get areTargetsCurrent() {
			// Once the readers have lost the store no changes are reported, although their last confirmation
			// is still younger than the usual limit.
			const limitMs = options.haveReadersLostStore(readState())
				? options.waitMs()
				: options.maxAgeMs();
			return statuses.targets === 'read' && targets.sync.ageMs <= limitMs;
		},
		get confirmedAgeMs() {
			return Math.max(operator.sync.ageMs, targets.sync.ageMs);
		},
		onConfirmed: confirmed.event,
		configurationSync: operator.sync,
		targetsSync: targets.sync,
		tables() {
			const {configurationText, evacuations} = operator;
			return targets.hasTargets &&
				configurationText !== undefined &&
				!needsPeerComparison()
				? {
						configuration: configurationText,
						configurationRevision: operator.sync.revision,
						targets: targets.rows(),
						targetsRevision: targets.sync.revision,
						evacuations,
						departures: options.directory.heldDepartures(),
					}
				: undefined;
		},
		get needsPeerComparison() {
			return needsPeerComparison();
		},
		get configurationVersion() {
			return operator.configurationVersion;
		},
		applyPeerTables(tables) {
			isAwaitingPeer = false;
			operator.applyPeerTables(tables);
			targets.applyPeerTables(tables);
		},
		applyPeerRows(changes) {
			targets.applyPeerRows(changes);
		},
		applyPeerConfiguration(change) {
			operator.applyPeerConfiguration(change);
		},
		applyPeerEvacuations(list) {
			operator.applyPeerEvacuations(list);
		},
		refreshConfiguration(respondedMs) {
			operator.refresh(respondedMs);
		},
		refreshTargets(respondedMs) {
			targets.refresh(respondedMs);
		},
		restart(era, respondedMs) {
			for (const table of [operator, targets]) {
				if (table.sync.revision.era < era) {
					table.restart(respondedMs);
				}
			}
		},
		refreshAll() {
			operator.refresh(-Infinity);
			targets.refresh(-Infinity);
		},
		dispose() {
			operator.dispose();
			targets.dispose();
			confirmed.dispose();
		},
	};
}
