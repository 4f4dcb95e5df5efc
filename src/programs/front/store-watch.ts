import {createEmitter} from '../../common/index.js';
import {
	createTableStatuses,
	isAnyTableLost,
	readStateOf,
} from './store-watch-status.js';
import {watchOperatorTable} from './store-watch-operator.js';
import {watchTargetsTable} from './store-watch-targets.js';
import type {StoreWatch, StoreWatchOptions} from './store-watch-types.js';

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
	const confirmed = createEmitter<void>();
	for (const {sync} of [operator, targets]) {
		sync.onConfirmed(confirmed.fire);
	}

	return {
		get isLoaded() {
			return targets.hasTargets && options.configuration.current !== undefined;
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
			return targets.hasTargets && configurationText !== undefined
				? {
						configuration: configurationText,
						configurationVersion: operator.sync.version,
						targets: targets.rows(),
						targetsVersion: targets.sync.version,
						evacuations,
					}
				: undefined;
		},
		applyPeerTables(tables) {
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
