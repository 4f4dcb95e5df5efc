import {type LeaseHolder, ProblemError, type Row} from '../../common/index.js';
import type {CommandIntent, LeaseRecord, OrderContent} from './types.js';

/** Key of a target's lease row. */
export function leaseKey(targetId: string): string {
	return `lease/${targetId}`;
}

/**
 * Reads a lease row.
 * @throws ProblemError `table-corrupt-row`
 */
export function parseLeaseRow(row: Row): LeaseRecord {
	try {
		const record = JSON.parse(row.value) as LeaseRecord;
		if (!Number.isSafeInteger(record.fencingNumber)) {
			throw new TypeError('fencingNumber is not a whole number');
		}

		return record;
	} catch (error) {
		throw new ProblemError(
			'table-corrupt-row',
			`row "${row.key}" holds no valid lease`,
			{field: row.key, cause: error as Error},
		);
	}
}

/** True if both are the same run of the same process. */
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

/** True if a load report with these models shows what a command wants. */
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

/** The row with a new command, whose first copy is announced. */
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
