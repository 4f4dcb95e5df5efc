import type {Clock, Disposable, Timers} from '../../common/index.js';
import type {
	GenerationScheduler,
	PlacementDecision,
	PlacementRequest,
} from '../scheduling/index.js';
import type {FleetMessage} from './fleet-message-types.js';
import type {MemberList} from './member-list.js';

/** Receives the final decision on a placement request. */
export type PlacementDecisionListener = {
	/**
	 * Called once, with `placed` or `refused`.
	 * @param decidedBy - address of the VM that decided
	 */
	onDecision(decision: PlacementDecision, decidedBy: string): void;
};

/** Requests engines for generations from the coordinator, which knows the requests of all VMs. */
export type PlacementClient = {
	/**
	 * Requests an engine. If this VM decides itself, the listener may be called before this returns.
	 * @returns disposing it withdraws the request; the listener is not called afterwards
	 */
	request(
		request: PlacementRequest,
		listener: PlacementDecisionListener,
	): Disposable;
	/** Handles a decision received from another VM. */
	handleRemoteDecision(
		from: string,
		id: string,
		decision: PlacementDecision,
	): void;
	/** Handles a decision of this VM's scheduler on a request that was queued there. */
	handleLocalDecision(id: string, decision: PlacementDecision): void;
};

export type PlacementClientOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly ownAddress: string;
	readonly members: MemberList;
	/** Decides while this VM ranks first among the members that it knows. */
	readonly scheduler: GenerationScheduler;
	readonly send: (address: string, message: FleetMessage) => void;
	/** Called when the scheduler of this VM has queued requests, so that its `tick` is called from then on. */
	readonly onWaiting: () => void;
};

/** Time for a coordinator to respond, in milliseconds; enough for a VM with a small CPU share. */
const responseTimeoutMs = 80;
/** Times that a request is sent before its coordinator is suspected; more than one, since datagrams get lost. */
const maxSends = 2;
/**
 * Interval at which a queued request is sent again, in milliseconds, in case its coordinator no longer
 * has it.
 */
const renewalIntervalMs = 400;

type PendingRequest = {
	readonly request: PlacementRequest;
	readonly listener: PlacementDecisionListener;
	/** Monotonic time at which the request was made, in milliseconds. */
	readonly requestedMs: number;
	/** Address of the VM to which the request was submitted last; may be this VM. */
	sentTo: string | undefined;
	/** Times that it was submitted there without a decision. */
	sends: number;
	/** Runs out when the request is due to be sent again. */
	timer: Disposable | undefined;
};

/**
 * Creates a placement client. A request goes to the coordinator; if that does not respond, to the next in
 * rank, and once this VM ranks first itself, to its own scheduler. The request keeps its id, so that each
 * scheduler counts it only once.
 */
export function createPlacementClient(
	options: PlacementClientOptions,
): PlacementClient {
	const {clock, timers, members, scheduler, ownAddress, send} = options;
	const pending = new Map<string, PendingRequest>();

	const withdraw = ({request, sentTo}: PendingRequest) => {
		if (sentTo === ownAddress) {
			scheduler.cancel(ownAddress, request.id);
		} else if (sentTo !== undefined) {
			send(sentTo, {kind: 'cancel', id: request.id});
		}
	};

	const handleDecision = (
		id: string,
		decision: PlacementDecision,
		decidedBy: string,
	) => {
		const found = pending.get(id);
		if (!found) {
			return;
		}

		if (decision.outcome === 'waiting') {
			found.sends = 0;
			found.timer?.dispose();
			found.timer = timers.after(renewalIntervalMs, () => {
				submit(found);
			});
			return;
		}

		pending.delete(id);
		found.timer?.dispose();
		found.listener.onDecision(decision, decidedBy);
	};

	/** The request with its waiting time and remaining time brought up to now. */
	const withCurrentTimes = ({
		request,
		requestedMs,
	}: PendingRequest): PlacementRequest => {
		const sinceMs = clock.nowMs() - requestedMs;
		return {
			...request,
			waitedMs: request.waitedMs + sinceMs,
			remainingMs: request.remainingMs - sinceMs,
		};
	};

	const decideLocally = (found: PendingRequest) => {
		const {id} = found.request;
		handleDecision(
			id,
			scheduler.place(ownAddress, withCurrentTimes(found)),
			ownAddress,
		);
		if (scheduler.waitingCount > 0) {
			options.onWaiting();
		}
	};

	const submit = (found: PendingRequest) => {
		const {address} = members.coordinator;
		if (found.sentTo !== undefined && found.sentTo !== address) {
			withdraw(found);
			found.sends = 0;
		}

		found.sentTo = address;
		found.sends++;
		if (address === ownAddress) {
			decideLocally(found);
			return;
		}

		send(address, {kind: 'place', request: withCurrentTimes(found)});
		found.timer?.dispose();
		found.timer = timers.after(responseTimeoutMs, () => {
			if (found.sends >= maxSends) {
				members.suspect(address);
			}

			submit(found);
		});
	};

	return {
		request(request, listener) {
			const added: PendingRequest = {
				request,
				listener,
				requestedMs: clock.nowMs(),
				sentTo: undefined,
				sends: 0,
				timer: undefined,
			};
			pending.set(request.id, added);
			submit(added);
			return {
				dispose() {
					if (pending.delete(request.id)) {
						added.timer?.dispose();
						withdraw(added);
					}
				},
			};
		},
		handleRemoteDecision(from, id, decision) {
			const found = pending.get(id);
			if (found?.sentTo === from) {
				handleDecision(id, decision, from);
			} else if (decision.outcome === 'placed') {
				// The request was withdrawn, decided already or sent to another VM; `from` is to release the
				// memory that it has reserved.
				send(from, {kind: 'cancel', id});
			}
		},
		handleLocalDecision(id, decision) {
			handleDecision(id, decision, ownAddress);
		},
	};
}
