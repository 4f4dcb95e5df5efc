import {type LeaseHolder, ProblemError, type Row} from '../../common/index.js';
import type {CommandIntent, LeaseRecord, OrderContent} from './types.js';

/** Key of a target's lease row. */
export function leaseKey(targetId: string): string {
	return `lease/${targetId}`;
}

/**
 * Parses a lease row.
 * @throws ProblemError `table-corrupt-row`
 */
export function parseLeaseRow(row: Row): LeaseRecord {
	try {
		const record = JSON.parse(row.value) as LeaseRecord;
		if (!Number.isSafeInteger(record.fencingNumber)) {
			throw new TypeError('fencingNumber must be a safe integer');
		}

		return record;
	} catch (error) {
		throw new ProblemError(
			'table-corrupt-row',
			`row "${row.key}" is not a valid lease record`,
			{field: row.key, cause: error as Error},
		);
	}
}

/** True if both are the same process: the same VM instance and incarnation. */
export function isSameHolder(
	a: LeaseHolder | undefined,
	b: LeaseHolder | undefined,
): boolean {
	return (
		a !== undefined &&
		a.vmInstanceId === b?.vmInstanceId &&
		a.incarnation === b.incarnation
	);
}

/**
 * True if a load report with these models shows the state that an order requests. Reports do not
 * contain roles, so a `set-role` order is never shown.
 */
export function isOrderApplied(
	order: OrderContent,
	models: readonly string[],
): boolean {
	switch (order.kind) {
		case 'load-model':
		case 'load-adapter': {
			return models.includes(order.name);
		}

		case 'unload-model': {
			return !models.includes(order.name);
		}

		case 'set-role': {
			return false;
		}
	}
}

/**
 * Returns the record with a new command under a new fencing number. Its first copy counts as sent,
 * since it may be sent as soon as the row is written.
 */
export function withIntent(
	record: LeaseRecord,
	command: Pick<CommandIntent, 'commandId' | 'order' | 'cause'>,
): LeaseRecord {
	return {
		...record,
		renewal: record.renewal + 1,
		fencingNumber: record.fencingNumber + 1,
		intent: {
			...command,
			sentCount: 1,
			answeredCount: 0,
			inheritedCount: 0,
		},
	};
}
