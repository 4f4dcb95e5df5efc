import type {Clock, Disposable, Timers} from '../../common/index.js';
import type {
	GenerationScheduler,
	PlacementDecision,
	PlacementRequest,
} from '../scheduling/index.js';
import type {FleetMessage} from './fleet-message-types.js';
import type {MemberList} from './member-list.js';

/** Receives what becomes of a demand. */
export type PlacementDecisionListener = {
	/** Called once, with `placed` or `refused`. */
	onDecision(answer: PlacementDecision, decidedBy: string): void;
};

/** Asks for engines where all demands are known. */
export type PlacementClient = {
	/** @returns disposing it withdraws the demand */
	request(
		demand: PlacementRequest,
		listener: PlacementDecisionListener,
	): Disposable;
	/** An answer arrived from another VM. */
	handleRemoteDecision(
		from: string,
		id: string,
		answer: PlacementDecision,
	): void;
	/** The scheduler of this VM has answered a demand of this VM. */
	handleLocalDecision(id: string, answer: PlacementDecision): void;
};

/** What a client works with. */
export type PlacementClientOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly ownAddress: string;
	readonly members: MemberList;
	/** Decides where no other VM does. */
	readonly scheduler: GenerationScheduler;
	readonly send: (address: string, message: FleetMessage) => void;
	/** A demand waits in the scheduler of this VM. */
	readonly onWaiting: () => void;
};

/** Time in which a coordinator answers, in milliseconds; longer than a VM with little of a core takes. */
const answerMs = 80;
/** Questions to one coordinator before another is asked; datagrams get lost. */
const maxAsks = 2;
/** Time after which a waiting demand is asked again, in case its coordinator has forgotten it, in milliseconds. */
const renewMs = 400;

type Open = {
	readonly demand: PlacementRequest;
	readonly listener: PlacementDecisionListener;
	readonly askedMs: number;
	asked: string | undefined;
	asks: number;
	timer: Disposable | undefined;
};

/**
 * Creates a client without demands. A demand goes to the coordinator; if that does not answer, to the
 * VM that would follow it, and at last to the scheduler of this VM. A demand keeps its id, so that it is
 * counted once wherever it is asked.
 */
export function createPlacementClient(
	options: PlacementClientOptions,
): PlacementClient {
	const {clock, timers, members, scheduler, ownAddress, send} = options;
	const open = new Map<string, Open>();

	const withdraw = ({demand, asked}: Open) => {
		if (asked === ownAddress) {
			scheduler.cancel(ownAddress, demand.id);
		} else if (asked !== undefined) {
			send(asked, {kind: 'cancel', id: demand.id});
		}
	};

	const finish = (id: string, answer: PlacementDecision, decidedBy: string) => {
		const found = open.get(id);
		if (!found) {
			return;
		}

		if (answer.outcome === 'waiting') {
			found.asks = 0;
			found.timer?.dispose();
			found.timer = timers.after(renewMs, () => {
				askNow(found);
			});
			return;
		}

		open.delete(id);
		found.timer?.dispose();
		found.listener.onDecision(answer, decidedBy);
	};

	/** The demand as it stands now, since time has passed. */
	const renewed = ({demand, askedMs}: Open): PlacementRequest => {
		const sinceMs = clock.nowMs() - askedMs;
		return {
			...demand,
			waitedMs: demand.waitedMs + sinceMs,
			remainingMs: demand.remainingMs - sinceMs,
		};
	};

	const askSelf = (found: Open) => {
		const {id} = found.demand;
		finish(id, scheduler.place(ownAddress, renewed(found)), ownAddress);
		if (scheduler.waitingCount > 0) {
			options.onWaiting();
		}
	};

	const askNow = (found: Open) => {
		const {address} = members.coordinator;
		if (found.asked !== undefined && found.asked !== address) {
			withdraw(found);
			found.asks = 0;
		}

		found.asked = address;
		found.asks++;
		if (address === ownAddress) {
			askSelf(found);
			return;
		}

		send(address, {kind: 'place', request: renewed(found)});
		found.timer?.dispose();
		found.timer = timers.after(answerMs, () => {
			if (found.asks >= maxAsks) {
				members.suspect(address);
			}

			askNow(found);
		});
	};

	return {
		request(demand, listener) {
			const found: Open = {
				demand,
				listener,
				askedMs: clock.nowMs(),
				asked: undefined,
				asks: 0,
				timer: undefined,
			};
			open.set(demand.id, found);
			askNow(found);
			return {
				dispose() {
					if (open.delete(demand.id)) {
						found.timer?.dispose();
						withdraw(found);
					}
				},
			};
		},
		handleRemoteDecision(from, id, answer) {
			const found = open.get(id);
			if (found?.asked === from) {
				finish(id, answer, from);
			} else if (answer.outcome === 'placed') {
				// Somebody else has placed it meanwhile.
				send(from, {kind: 'cancel', id});
			}
		},
		handleLocalDecision(id, answer) {
			finish(id, answer, ownAddress);
		},
	};
}
