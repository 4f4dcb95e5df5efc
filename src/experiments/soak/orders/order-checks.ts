import type {InvariantMonitor, TargetOrder} from '../../../common/index.js';
import type {LeaseRecord} from '../../../decisions/leases/index.js';
import type {
	FakeOrderTarget,
	FakeTableService,
	OrderArrival,
	VirtualTime,
} from '../../fakes/index.js';

/** Simulation that the checks read, and the weight store budget that they enforce. */
export type OrderChecksOptions = {
	readonly time: VirtualTime;
	readonly invariants: InvariantMonitor;
	readonly table: FakeTableService;
	readonly targets: ReadonlyMap<string, FakeOrderTarget>;
	/** Size of the weights of every model. */
	readonly sizeBytes: number;
	readonly bytesPerSecond: number;
	readonly burstBytes: number;
	readonly trace: (line: string) => void;
};

/**
 * Checks the invariant `order-fencing`. An order is a command to a target to load or unload a model; a
 * copy is one transmission of it, and a replica is a model loaded at a target.
 * - At every send: no process sends an older fencing number than another process has sent, if the target
 *   ignores fencing numbers.
 * - At every arrival: a target that refuses old fencing numbers accepts none, loads stay within the budget
 *   of the weight store, and the last replica of a model is not unloaded.
 * - With `checkLeaseRows`: the fencing number in a lease row never decreases.
 * - With `checkFinalState`: every model that a command named is as its newest accepted command asked for.
 */
export type OrderChecks = {
	recordSend(targetId: string, order: TargetOrder, sender: string): void;
	recordArrival(targetId: string, arrival: OrderArrival): void;
	/** Checks that the fencing number of no lease row has decreased since the previous call. */
	checkLeaseRows(): void;
	/** Checks the final models of the targets, after a time without faults. */
	checkFinalState(): void;
};

type TargetHistory = {
	newestSent: TargetOrder | undefined;
	newestSender: string;
	newestAccepted: OrderArrival | undefined;
	readonly newestOrderByModel: Map<string, TargetOrder>;
	leaseFencingNumber: number;
};

const invariantName = 'order-fencing';

export function createOrderChecks(options: OrderChecksOptions): OrderChecks {
	const {invariants, targets, time} = options;
	const histories = new Map<string, TargetHistory>();
	let loadedBytes = 0;

	const historyOf = (targetId: string): TargetHistory => {
		let history = histories.get(targetId);
		if (!history) {
			history = {
				newestSent: undefined,
				newestSender: '',
				newestAccepted: undefined,
				newestOrderByModel: new Map(),
				leaseFencingNumber: 0,
			};
			histories.set(targetId, history);
		}

		return history;
	};

	const replicaCountOf = (model: string) =>
		[...targets.values()].filter((target) => target.models.has(model)).length;

	const checkAccepted = (targetId: string, arrival: OrderArrival) => {
		const history = historyOf(targetId);
		const previous = history.newestAccepted;
		const isOlder =
			previous !== undefined &&
			arrival.order.fencingNumber < previous.order.fencingNumber;
		if (targets.get(targetId)!.description.fencing === 'refuses-old') {
			invariants.check(
				invariantName,
				!isOlder,
				() =>
					`${targetId} accepted fencing number ${arrival.order.fencingNumber} after ${previous!.order.fencingNumber}`,
			);
		}

		if (!isOlder) {
			history.newestAccepted = arrival;
			history.newestOrderByModel.set(arrival.order.name, arrival.order);
		}
	};

	const checkEffect = (
		targetId: string,
		{order, isDuplicate}: OrderArrival,
	) => {
		// The coordinator cannot prevent the network from duplicating a copy; it can only repair the target.
		if (isDuplicate) {
			return;
		}

		if (order.kind === 'load-model') {
			loadedBytes += options.sizeBytes;
			const allowedBytes =
				options.burstBytes + (time.nowMs() / 1000) * options.bytesPerSecond;
			invariants.check(
				invariantName,
				loadedBytes <= allowedBytes,
				() =>
					`loads read ${loadedBytes} bytes from the weight store; at most ${allowedBytes} are allowed`,
			);
		} else {
			invariants.check(
				invariantName,
				replicaCountOf(order.name) > 0,
				() => `${targetId} unloaded the last replica of ${order.name}`,
			);
		}
	};

	return {
		recordSend(targetId, order, sender) {
			const history = historyOf(targetId);
			const previous = history.newestSent;
			const isOlder =
				previous !== undefined && order.fencingNumber < previous.fencingNumber;
			options.trace(
				`${sender} sends ${order.kind} ${order.name} #${order.fencingNumber} to ${targetId}`,
			);
			if (targets.get(targetId)!.description.fencing === 'ignores') {
				invariants.check(
					invariantName,
					!isOlder || sender === history.newestSender,
					() =>
						`${sender} sent fencing number ${order.fencingNumber} to ${targetId} after ${history.newestSender} sent ${previous!.fencingNumber}`,
				);
			}

			if (!isOlder) {
				history.newestSent = order;
				history.newestSender = sender;
			}
		},
		recordArrival(targetId, arrival) {
			const {order, accepted, changed, isDuplicate} = arrival;
			options.trace(
				`${targetId} ${accepted ? 'accepts' : 'refuses'} ${order.kind} ${order.name} #${order.fencingNumber}${changed ? '' : ', no change'}${isDuplicate ? ', repeated' : ''}`,
			);
			if (accepted) {
				checkAccepted(targetId, arrival);
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
					invariantName,
					fencingNumber >= history.leaseFencingNumber,
					() =>
						`the fencing number of ${targetId} decreased from ${history.leaseFencingNumber} to ${fencingNumber}`,
				);
				history.leaseFencingNumber = Math.max(
					history.leaseFencingNumber,
					fencingNumber,
				);
			}
		},
		checkFinalState() {
			for (const [targetId, history] of histories) {
				const {models} = targets.get(targetId)!;
				for (const [model, order] of history.newestOrderByModel) {
					const isLoaded = models.has(model);
					invariants.check(
						invariantName,
						isLoaded === (order.kind === 'load-model'),
						() =>
							`${targetId} ended ${isLoaded ? 'with' : 'without'} ${model}, but its newest command was ${order.kind} #${order.fencingNumber}`,
					);
				}
			}
		},
	};
}
