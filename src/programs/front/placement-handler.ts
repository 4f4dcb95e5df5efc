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

export type PlacementHandlerOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	/** Address of this VM. */
	readonly address: string;
	readonly members: MemberList;
	/** Engines of a service that take requests now. */
	readonly engines: (service: string) => readonly EngineEntry[];
	/** Takes the turn of a new request at an engine that limits its request rate. */
	readonly takeTurn: (targetId: string) => void;
	readonly send: (to: string, message: FleetMessage) => void;
};

/**
 * Places the generations of this VM and, while it is the coordinator, those of all VMs; handles the
 * messages that belong to it.
 */
export type PlacementHandler = Disposable & {
	readonly runRegistry: RunRegistry;
	readonly runReporter: RunReporter;
	readonly placementClient: PlacementClient;
	/** Handles a placement or run message of another VM. */
	handle(
		from: string,
		message:
			| PlacementRequestMessage
			| PlacementCancelMessage
			| PlacementDecisionMessage
			| RunUpdate,
	): void;
};

/** Interval at which the scheduler retries the waiting generations, in milliseconds. */
const schedulerTickMs = 25;

export function createPlacementHandler(
	options: PlacementHandlerOptions,
): PlacementHandler {
	const {clock, timers, address, members, send} = options;
	const runRegistry = createRunRegistry(clock);
	let isDisposed = false;
	const scheduler: GenerationScheduler = createGenerationScheduler({
		clock,
		random: options.random,
		registry: runRegistry,
		engines: options.engines,
		takeTurn: options.takeTurn,
		onDecision(to, {id}, decision) {
			if (to === address) {
				placementClient.handleLocalDecision(id, decision);
			} else {
				send(to, {kind: 'placed', id, decision});
			}
		},
	});
	const placementClient = createPlacementClient({
		clock,
		timers,
		ownAddress: address,
		members,
		scheduler,
		send,
		onWaiting() {
			scheduleTick();
		},
	});

	const applyRunUpdate = (from: string, {set, ended}: RunUpdate) => {
		for (const run of set) {
			runRegistry.set(from, run);
		}

		for (const id of ended) {
			runRegistry.remove(from, id);
		}
	};

	const runReporter = createRunReporter(timers, (set, ended) => {
		const message: RunUpdate = {kind: 'run-update', set, ended};
		applyRunUpdate(address, message);
		for (const member of members.coordinatorAndStandby()) {
			if (member.address !== address) {
				send(member.address, message);
			}
		}
	});

	let tickTimer: Disposable | undefined;
	/** Ticks the scheduler while generations wait; an idle VM has no timer. */
	const scheduleTick = () => {
		if (scheduler.waitingCount > 0 && !isDisposed) {
			tickTimer ??= timers.after(schedulerTickMs, () => {
				tickTimer = undefined;
				try {
					scheduler.tick();
				} finally {
					scheduleTick();
				}
			});
		}
	};

	return {
		runRegistry,
		runReporter,
		placementClient,
		handle(from, message) {
			switch (message.kind) {
				case 'run-update': {
					applyRunUpdate(from, message);
					scheduler.tick();
					break;
				}

				case 'place': {
					const {request} = message;
					const decision = scheduler.place(from, request);
					send(from, {kind: 'placed', id: request.id, decision});
					scheduleTick();
					break;
				}

				case 'placed': {
					placementClient.handleRemoteDecision(
						from,
						message.id,
						message.decision,
					);
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
			tickTimer?.dispose();
			runReporter.dispose();
		},
	};
}
