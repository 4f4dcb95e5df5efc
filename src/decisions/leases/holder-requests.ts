import {
	type Clock,
	type Engine,
	type LeaseHolder,
	type LeasePeers,
	toProblem,
	type VmListSnapshot,
} from '../../common/index.js';
import type {LeaseTracker} from './lease-tracker.js';
import type {LeaseAction, LeaseExplainEntry} from './types.js';

/** Options of the requests of a lease holder. */
export type HolderRequestsOptions = {
	readonly clock: Clock;
	readonly tracker: LeaseTracker;
	readonly peers: LeasePeers;
	/** Instance of this VM, as the VM list names it. */
	readonly vmInstanceId: string;
	/** Identifies this process among those that ran on the same VM. */
	readonly incarnation: string;
	/** Newest known VM list. */
	readonly vmList: () => VmListSnapshot;
	/**
	 * Returns the client of a target.
	 * @throws ProblemError `target-unavailable` if the target has no client
	 */
	readonly requireEngine: (
		targetId: string,
	) => Pick<Engine, 'order' | 'loadReport'>;
	/** Called with every entry for the explain log. */
	readonly onRecord: (record: LeaseExplainEntry) => void;
	/** Called to increment the counter of that name. */
	readonly onCount: (name: string, labels: Record<string, string>) => void;
};

/**
 * Sends the requests of a lease holder to targets and to earlier holders and applies their results to
 * the lease as events. The methods never reject.
 */
export type HolderRequests = {
	/** Sends one copy of a command. */
	send(
		targetId: string,
		action: Extract<LeaseAction, {kind: 'send'}>,
	): Promise<void>;
	/**
	 * Checks whether an earlier holder can still send commands: it cannot if it was an earlier process on
	 * this VM or is missing in a later VM list; otherwise it gets a stop request.
	 */
	checkPredecessor(targetId: string, holder: LeaseHolder): Promise<void>;
	/** Reads a target's load report and applies it to the lease. */
	readReport(targetId: string): Promise<void>;
};

export function createHolderRequests(
	options: HolderRequestsOptions,
): HolderRequests {
	const {clock, tracker, peers, requireEngine} = options;

	const send = async (
		targetId: string,
		action: Extract<LeaseAction, {kind: 'send'}>,
	) => {
		const {commandId, copyNumber, order} = action;
		let outcome: 'accepted' | 'refused' | 'unanswered' = 'accepted';
		tracker.apply(targetId, {type: 'copy-sent'});
		try {
			await requireEngine(targetId).order(order);
		} catch (error) {
			outcome =
				toProblem(error).type === 'order-rejected' ? 'refused' : 'unanswered';
		}

		tracker.apply(targetId, {
			type: 'copy-ended',
			commandId,
			copyNumber,
			outcome,
		});
		options.onCount('order_copies', {kind: order.kind, outcome});
		options.onRecord({
			subject: targetId,
			cause: `copy ${copyNumber} of ${order.kind} ${order.name} under number ${order.fencingNumber}`,
			result: outcome,
		});
	};

	const checkPredecessor = async (targetId: string, holder: LeaseHolder) => {
		const isOwnEarlierRun =
			holder.vmInstanceId === options.vmInstanceId &&
			holder.incarnation !== options.incarnation;
		const isListedGone =
			options.vmList().sequence > holder.listSequence &&
			options.vmList().vms.every((vm) => vm.instanceId !== holder.vmInstanceId);
		if (isOwnEarlierRun || isListedGone) {
			tracker.apply(targetId, {type: 'predecessor', holder, evidence: 'gone'});
			return;
		}

		const {fencingNumber} = tracker.states.get(targetId)!.record!;
		try {
			const response = await peers.confirmStop({
				targetId,
				holder,
				fencingNumber,
			});
			options.onCount('lease_stop_answers', {answer: response});
			if (response !== 'busy') {
				tracker.apply(targetId, {
					type: 'predecessor',
					holder,
					evidence: response,
				});
			}
		} catch (error) {
			options.onCount('lease_stop_answers', {answer: toProblem(error).type});
		}
	};

	const readReport = async (targetId: string) => {
		try {
			const startedMs = clock.nowMs();
			const report = await requireEngine(targetId).loadReport();
			tracker.apply(targetId, {
				type: 'report',
				atMs: startedMs - report.ageMs,
				models: report.models,
			});
		} catch (error) {
			options.onCount('order_report_errors', {type: toProblem(error).type});
		}
	};

	return {send, checkPredecessor, readReport};
}
