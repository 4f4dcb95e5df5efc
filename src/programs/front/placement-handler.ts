import type {
	Clock,
	Disposable,
	RandomSource,
	Timers,
} from '../../common/index.js';
import {
	createPlacementClient,
	type FleetMessage,
	type MemberList,
	type PlacementRequestMessage,
	type PlacementCancelMessage,
	type PlacementClient,
	type PlacementDecisionMessage,
	type RunUpdate,
} from '../../decisions/fleet/index.js';
import {
	createGenerationScheduler,
	createRunRegistry,
	type EngineEntry,
	type GenerationScheduler,
	type RunRegistry,
} from '../../decisions/scheduling/index.js';
import {createRunReporter, type RunReporter} from './run-reporter.js';

/** What the placement works with. */
export type PlacementHandlerOptions = {
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
export type PlacementHandler = Disposable & {
	readonly book: RunRegistry;
	readonly runReporter: RunReporter;
	readonly placeClient: PlacementClient;
	/** Takes what another VM tells or asks. */
	handle(
		from: string,
		message:
			| PlacementRequestMessage
			| PlacementCancelMessage
			| PlacementDecisionMessage
			| RunUpdate,
	): void;
};

/** Interval at which generations that wait are looked at, in milliseconds. */
const schedulerTickMs = 25;

/** Creates a desk at which nothing waits. */
export function createPlacementHandler(
	options: PlacementHandlerOptions,
): PlacementHandler {
	const {clock, timers, address, members, send} = options;
	const registry = createRunRegistry(clock);
	let isDisposed = false;
	const scheduler: GenerationScheduler = createGenerationScheduler({
		clock,
		random: options.random,
		registry,
		engines: options.engines,
		onDecision(to, {id}, decision) {
			if (to === address) {
				placeClient.handleLocalDecision(id, decision);
			} else {
				send(to, {kind: 'placed', id, decision});
			}
		},
	});
	const placeClient = createPlacementClient({
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
			registry.set(from, run);
		}

		for (const id of ended) {
			registry.remove(from, id);
		}
	};

	const runReporter = createRunReporter(timers, (set, ended) => {
		const message: RunUpdate = {kind: 'run-update', set, ended};
		update(address, message);
		for (const accountant of members.coordinatorAndStandby()) {
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
		book: registry,
		runReporter,
		placeClient,
		handle(from, message) {
			switch (message.kind) {
				case 'run-update': {
					update(from, message);
					scheduler.tick();
					break;
				}

				case 'place': {
					const {request} = message;
					const decision = scheduler.place(from, request);
					send(from, {kind: 'placed', id: request.id, decision});
					tickWhileWaiting();
					break;
				}

				case 'placed': {
					placeClient.handleRemoteDecision(from, message.id, message.decision);
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
			runReporter.dispose();
		},
	};
}
