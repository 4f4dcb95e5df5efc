import type {InvariantMonitor, TargetOrder} from '../../../common/index.js';
import type {LeaseRecord} from '../../../decisions/leases/index.js';
import type {
	FakeOrderTarget,
	FakeTableService,
	OrderArrival,
	VirtualTime,
} from '../../fakes/index.js';

/** What the checks need to know of the run. */
export type OrderChecksOptions = {
	readonly time: VirtualTime;
	readonly invariants: InvariantMonitor;
	readonly table: FakeTableService;
	readonly targets: ReadonlyMap<string, FakeOrderTarget>;
	readonly sizeBytes: number;
	readonly bytesPerSecond: number;
	readonly burstBytes: number;
	readonly trace: (line: string) => void;
};

/** Checks `order-fencing` at every departure and arrival of a command, and at the end of a run. */
export type OrderChecks = {
	recordSend(targetId: string, order: TargetOrder, sender: string): void;
	recordArrival(targetId: string, arrival: OrderArrival): void;
	/** Checks that no lease's number went down. */
	checkLeaseRows(): void;
	/** Checks the state that remains after a quiet time. */
	checkFinalState(): void;
};

type TargetHistory = {
	departed: TargetOrder | undefined;
	departedBy: string;
	accepted: OrderArrival | undefined;
	readonly newestByModel: Map<string, TargetOrder>;
	leaseNumber: number;
};

const name = 'order-fencing';

/** Creates the checks of one run. */
export function createOrderChecks(options: OrderChecksOptions): OrderChecks {
	const {invariants, targets, time} = options;
	const histories = new Map<string, TargetHistory>();
	let loadedBytes = 0;

	const historyOf = (targetId: string): TargetHistory => {
		let history = histories.get(targetId);
		if (!history) {
			history = {
				departed: undefined,
				departedBy: '',
				accepted: undefined,
				newestByModel: new Map(),
				leaseNumber: 0,
			};
			histories.set(targetId, history);
		}

		return history;
	};

	const copiesOf = (model: string) =>
		[...targets.values()].filter((target) => target.models.has(model)).length;

	const checkOrder = (targetId: string, arrival: OrderArrival) => {
		const history = historyOf(targetId);
		const before = history.accepted;
		const isOlder =
			before !== undefined &&
			arrival.order.fencingNumber < before.order.fencingNumber;
		if (targets.get(targetId)!.description.fencing === 'refuses-old') {
			invariants.check(
				name,
				!isOlder,
				() =>
					`${targetId} obeyed number ${arrival.order.fencingNumber} after ${before!.order.fencingNumber}`,
			);
		}

		if (!isOlder) {
			history.accepted = arrival;
			history.newestByModel.set(arrival.order.name, arrival.order);
		}
	};

	const checkEffect = (
		targetId: string,
		{order, isDuplicate}: OrderArrival,
	) => {
		// A network that repeats a copy by itself can only be answered by repairing the target.
		if (isDuplicate) {
			return;
		}

		if (order.kind === 'load-model') {
			loadedBytes += options.sizeBytes;
			const allowedBytes =
				options.burstBytes + (time.nowMs() / 1000) * options.bytesPerSecond;
			invariants.check(
				name,
				loadedBytes <= allowedBytes,
				() =>
					`loads took ${loadedBytes} bytes of the weight store, ${allowedBytes} allowed`,
			);
		} else {
			invariants.check(
				name,
				copiesOf(order.name) > 0,
				() => `${targetId} unloaded the last copy of ${order.name}`,
			);
		}
	};

	return {
		recordSend(targetId, order, sender) {
			const history = historyOf(targetId);
			const before = history.departed;
			const isOlder =
				before !== undefined && order.fencingNumber < before.fencingNumber;
			options.trace(
				`${sender} sends ${order.kind} ${order.name} #${order.fencingNumber} to ${targetId}`,
			);
			if (targets.get(targetId)!.description.fencing === 'ignores') {
				invariants.check(
					name,
					!isOlder || sender === history.departedBy,
					() =>
						`${sender} sent number ${order.fencingNumber} to ${targetId} after ${history.departedBy} sent ${before!.fencingNumber}`,
				);
			}

			if (!isOlder) {
				history.departed = order;
				history.departedBy = sender;
			}
		},
		recordArrival(targetId, arrival) {
			const {order, accepted, changed, isDuplicate} = arrival;
			options.trace(
				`${targetId} ${accepted ? 'takes' : 'refuses'} ${order.kind} ${order.name} #${order.fencingNumber}${changed ? '' : ', no change'}${isDuplicate ? ', repeated' : ''}`,
			);
			if (accepted) {
				checkOrder(targetId, arrival);
			}

			if (changed) {
				checkEffect(targetId, arrival);
			}
		},
		checkLeaseRows() {
			for (const row of options.table.peekAll('lease/')) {
				const targetId = row.key.slice('lease/'.length);
				const {fencingNumber} = JSON.parse(row.value) as LeaseRecord;
				const history = historyOf(targetId);
				invariants.check(
					name,
					fencingNumber >= history.leaseNumber,
					() =>
						`the number of ${targetId} went from ${history.leaseNumber} to ${fencingNumber}`,
				);
				history.leaseNumber = Math.max(history.leaseNumber, fencingNumber);
			}
		},
		checkFinalState() {
			for (const [targetId, history] of histories) {
				const {models} = targets.get(targetId)!;
				for (const [model, order] of history.newestByModel) {
					const isLoaded = models.has(model);
					invariants.check(
						name,
						isLoaded === (order.kind === 'load-model'),
						() =>
							`${targetId} ended ${isLoaded ? 'with' : 'without'} ${model}, though the newest command was ${order.kind} #${order.fencingNumber}`,
					);
				}
			}
		},
	};
}
