import type {Clock, Disposable, Timers} from '../../common/index.js';
import type {
	GenerationScheduler,
	PlaceAnswer,
	PlaceDemand,
} from '../scheduling/index.js';
import type {FleetMessage} from './fleet-message-types.js';
import type {MemberList} from './member-list.js';

/** Receives what becomes of a demand. */
export type PlaceListener = {
	/** Called once, with `placed` or `refused`. */
	onAnswer(answer: PlaceAnswer, decidedBy: string): void;
};

/** Asks for engines where all demands are known. */
export type PlaceClient = {
	/** @returns disposing it withdraws the demand */
	ask(demand: PlaceDemand, listener: PlaceListener): Disposable;
	/** An answer arrived from another VM. */
	answered(from: string, id: string, answer: PlaceAnswer): void;
	/** The scheduler of this VM has answered a demand of this VM. */
	decided(id: string, answer: PlaceAnswer): void;
};

/** What a client works with. */
export type PlaceClientOptions = {
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
	readonly demand: PlaceDemand;
	readonly listener: PlaceListener;
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
export function createPlaceClient(options: PlaceClientOptions): PlaceClient {
	const {clock, timers, members, scheduler, ownAddress, send} = options;
	const open = new Map<string, Open>();

	const withdraw = ({demand, asked}: Open) => {
		if (asked === ownAddress) {
			scheduler.cancel(ownAddress, demand.id);
		} else if (asked !== undefined) {
			send(asked, {kind: 'cancel', id: demand.id});
		}
	};

	const finish = (id: string, answer: PlaceAnswer, decidedBy: string) => {
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
		found.listener.onAnswer(answer, decidedBy);
	};

	/** The demand as it stands now, since time has passed. */
	const renewed = ({demand, askedMs}: Open): PlaceDemand => {
		const sinceMs = clock.nowMs() - askedMs;
		return {
			...demand,
			waitedMs: demand.waitedMs + sinceMs,
			leftMs: demand.leftMs - sinceMs,
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

		send(address, {kind: 'place', demand: renewed(found)});
		found.timer?.dispose();
		found.timer = timers.after(answerMs, () => {
			if (found.asks >= maxAsks) {
				members.suspect(address);
			}

			askNow(found);
		});
	};

	return {
		ask(demand, listener) {
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
		answered(from, id, answer) {
			const found = open.get(id);
			if (found?.asked === from) {
				finish(id, answer, from);
			} else if (answer.outcome === 'placed') {
				// Somebody else has placed it meanwhile.
				send(from, {kind: 'cancel', id});
			}
		},
		decided(id, answer) {
			finish(id, answer, ownAddress);
		},
	};
}
