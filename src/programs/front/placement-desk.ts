import type {
	Clock,
	Disposable,
	RandomSource,
	Timers,
} from '../../common/index.js';
import {
	createPlaceClient,
	type FleetMessage,
	type MemberList,
	type PlaceAsk,
	type PlaceCancel,
	type PlaceClient,
	type PlaceReply,
	type RunUpdate,
} from '../../decisions/fleet/index.js';
import {
	createGenerationScheduler,
	createRunBook,
	type EngineEntry,
	type GenerationScheduler,
	type RunBook,
} from '../../decisions/scheduling/index.js';
import {createRunReports, type RunReports} from './run-reports.js';

/** What the placement works with. */
export type PlacementDeskOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	/** Address of this VM. */
	readonly address: string;
	readonly members: MemberList;
	/** Engines of a service that take requests now. */
	readonly engines: (service: string) => readonly EngineEntry[];
	readonly send: (to: string, message: FleetMessage) => void;
};

/** Places generations of this VM, and those of all VMs while this one coordinates. */
export type PlacementDesk = Disposable & {
	readonly book: RunBook;
	readonly runs: RunReports;
	readonly placeClient: PlaceClient;
	/** Takes what another VM tells or asks. */
	take(
		from: string,
		message: PlaceAsk | PlaceCancel | PlaceReply | RunUpdate,
	): void;
};

/** Interval at which generations that wait are looked at, in milliseconds. */
const schedulerTickMs = 25;

/** Creates a desk at which nothing waits. */
export function createPlacementDesk(
	options: PlacementDeskOptions,
): PlacementDesk {
	const {clock, timers, address, members, send} = options;
	const book = createRunBook(clock);
	let isDisposed = false;
	const scheduler: GenerationScheduler = createGenerationScheduler({
		clock,
		random: options.random,
		book,
		engines: options.engines,
		onAnswer(to, {id}, answer) {
			if (to === address) {
				placeClient.decided(id, answer);
			} else {
				send(to, {kind: 'placed', id, answer});
			}
		},
	});
	const placeClient = createPlaceClient({
		clock,
		timers,
		ownAddress: address,
		members,
		scheduler,
		send,
		onWaiting() {
			tickWhileWaiting();
		},
	});

	const update = (from: string, {set, ended}: RunUpdate) => {
		for (const run of set) {
			book.set(from, run);
		}

		for (const id of ended) {
			book.remove(from, id);
		}
	};

	const runs = createRunReports(timers, (set, ended) => {
		const message: RunUpdate = {kind: 'run-update', set, ended};
		update(address, message);
		for (const accountant of members.accountants()) {
			if (accountant.address !== address) {
				send(accountant.address, message);
			}
		}
	});

	let ticking: Disposable | undefined;
	/** Looks at what waits as long as something does; a VM at rest has nothing to wake up for. */
	const tickWhileWaiting = () => {
		if (scheduler.waitingCount > 0 && !isDisposed) {
			ticking ??= timers.after(schedulerTickMs, () => {
				ticking = undefined;
				try {
					scheduler.tick();
				} finally {
					tickWhileWaiting();
				}
			});
		}
	};

	return {
		book,
		runs,
		placeClient,
		take(from, message) {
			switch (message.kind) {
				case 'run-update': {
					update(from, message);
					scheduler.tick();
					break;
				}

				case 'place': {
					const {demand} = message;
					const answer = scheduler.place(from, demand);
					send(from, {kind: 'placed', id: demand.id, answer});
					tickWhileWaiting();
					break;
				}

				case 'placed': {
					placeClient.answered(from, message.id, message.answer);
					break;
				}

				case 'cancel': {
					scheduler.cancel(from, message.id);
					break;
				}
			}
		},
		dispose() {
			isDisposed = true;
			ticking?.dispose();
			runs.dispose();
		},
	};
}
