import type {StoreReadState} from '../../decisions/fleet/index.js';

/** Whether a table has been read, and can be read now. */
export type TableStatus = 'lost' | 'read' | 'unread';

/** Statuses of both tables; each is changed by the watch of its table. */
export type TableStatuses = {operator: TableStatus; targets: TableStatus};

/** Creates the statuses of tables that have not been read. */
export function createTableStatuses(): TableStatuses {
	return {operator: 'unread', targets: 'unread'};
}

/** @returns true while a table cannot be read */
export function isAnyTableLost({operator, targets}: TableStatuses): boolean {
	return operator === 'lost' || targets === 'lost';
}

/** @param isStoreReader - as in `StoreWatchOptions` */
export function readStateOf(
	statuses: TableStatuses,
	isStoreReader: (readState: StoreReadState) => boolean,
): StoreReadState {
	if (isAnyTableLost(statuses)) {
		return 'lost';
	}

	return statuses.targets === 'read' && isStoreReader('reading')
		? 'reading'
		: 'idle';
}
