import {createDisposableStore, type TargetEntry} from '../../common/index.js';
import type {
	PermitDecision,
	PermitRequest,
} from '../../decisions/rate-limits/index.js';
import {
	createContinuationTurns,
	type LostRun,
	type RetryShareOptions,
	startStreamSession,
} from '../../decisions/serving/index.js';
import type {
	ClosedRefusal,
	TargetStanding,
} from '../../decisions/target-statements/index.js';
import {fakeAdmittedRequest, fakeTargetEntry} from './admitted-request.js';
import {createFakeCallerResponse} from './fake-caller-response.js';
import {fakeSessionServices} from './fake-session-services.js';
import {
	fakeResponseHead,
	type FakeSend,
	FakeTargetClient,
} from './fake-target-client.js';
import {VirtualTime} from './virtual-time.js';

const openStanding: TargetStanding = {
	use: 'normal',
	cause: undefined,
	waitMs: 0,
	requestsPerSecond: undefined,
};

/** Targets of the engines of a test stream, in the order in which they are chosen. */
export const testEngines = [
	fakeTargetEntry('e1'),
	fakeTargetEntry('e2'),
	fakeTargetEntry('e3'),
] as const;

export type TestStreamOptions = {
	/** Engine that holds a KV cache copy from the start; none by default. */
	readonly backup?: TargetEntry;
	/** Length of the prompt; 3000 by default. */
	readonly promptTokens?: number;
	/** True if the placement is not expected to meet the objective. */
	readonly isLate?: boolean;
	/** Whether the store reports leaving targets; true by default. */
	readonly areDeparturesReported?: boolean;
	/** True if no engine has room, so that the search for an engine stays pending. */
	readonly areEnginesFull?: boolean;
	/** Retry pool of the fleet; see `fakeSessionServices`. */
	readonly askPool?: RetryShareOptions['askPool'];
	/** What engines say of themselves, where it restricts their use. */
	readonly standings?: ReadonlyMap<string, Partial<TargetStanding>>;
	/** Refusal while every engine says that it takes no requests. */
	readonly closedRefusal?: () => ClosedRefusal | undefined;
	/** Called when an engine accepts no connection. */
	readonly onUnreachable?: () => void;
	/** Called with what a send shows of its engine. */
	readonly onSendResult?: (target: TargetEntry, succeeded: boolean) => void;
	/** Why the run may not be sent to an engine again. */
	readonly heldReason?: () => string | undefined;
	/** Decides on the turns of continued runs; if given, all engines limit their request rate. */
	readonly decideTurn?: (
		targetId: string,
		request: PermitRequest,
	) => PermitDecision;
};

/**
 * Starts a stream session in virtual time. The test sends the engines' responses through `sends` of
 * the target client.
 */
export function startTestStream(options: TestStreamOptions = {}) {
	const [firstEngine, secondEngine, thirdEngine] = testEngines;
	const time = new VirtualTime();
	const targetClient = new FakeTargetClient();
	const response = createFakeCallerResponse();
	const log: Array<{event: string; record: Readonly<Record<string, unknown>>}> =
		[];
	const lostRuns: LostRun[] = [];
	const leavingIds = new Set<string>();
	const unreachableIds = new Set<string>();
	const evacuatedIds = new Set<string>();
	const {promptTokens = 3000} = options;
	const session = startStreamSession(
		fakeAdmittedRequest(
			{kind: 'stream', timeoutMs: 39_000, objectiveMs: 1800, maxAttempts: 1},
			{
				generation: {
					model: 'm',
					promptTokens,
					maxOutputTokens: 900,
					promptParts: [],
					lengthHintTokens: undefined,
				},
			},
		),
		response,
		{
			...fakeSessionServices(
				time,
				targetClient,
				(event, record) => {
					log.push({event, record});
				},
				options.askPool,
			),
			mayUse: ({id}) => !evacuatedIds.has(id),
			onUnreachable() {
				options.onUnreachable?.();
			},
			onSendResult(target, succeeded) {
				options.onSendResult?.(target, succeeded);
			},
			closedRefusal: () => options.closedRefusal?.(),
			place(_admitted, avoid, listener) {
				const target = [firstEngine, secondEngine, thirdEngine].find(
					({id}) => !avoid.has(id),
				);
				if (options.areEnginesFull) {
					// The search stays pending.
				} else if (target) {
					listener.onPlaced({
						id: 'q1.1',
						target,
						backup: options.backup,
						firstTokenMs: 200,
						memoryFraction: 0.5,
						isLate: options.isLate ?? false,
						decidedBy: 'vm-1',
					});
				} else {
					listener.onRefused('no engine of the service is usable', 700);
				}

				return {
					dispose() {
						// The listener was already called.
					},
				};
			},
			placeCopy: async (_run, avoid) =>
				[thirdEngine, secondEngine].find(
					({id}) =>
						!avoid.has(id) && !leavingIds.has(id) && !evacuatedIds.has(id),
				),
			requestContinuationTurn: createContinuationTurns({
				timers: time,
				eligibility: {
					standingOf: ({id}) => ({
						...openStanding,
						...options.standings?.get(id),
						requestsPerSecond: options.decideTurn ? 1 : undefined,
					}),
				},
				requestPermit(request, onDecision) {
					const [{targetId}] = request.targets;
					onDecision(
						options.decideTurn?.(targetId, request) ?? {
							outcome: 'denied',
							waitMs: 0,
							retryAfterMs: 0,
						},
					);
					return createDisposableStore();
				},
			}),
			isPresent: (id) => !leavingIds.has(id),
			isReachable: (id) =>
				[leavingIds, unreachableIds, evacuatedIds].every((ids) => !ids.has(id)),
			isEvacuated: ({id}) => evacuatedIds.has(id),
			areDeparturesReported: () => options.areDeparturesReported ?? true,
			trackRun: () => ({
				progressed() {
					// Load is not counted in these tests.
				},
				copied() {
					// Load is not counted in these tests.
				},
				dispose() {
					// Load is not counted in these tests.
				},
			}),
			heldReason: () => options.heldReason?.(),
			onProgress() {
				// The evidence of crashes is not kept in these tests.
			},
			onSilentRun() {
				// The log has the findings too.
			},
			onRunLost(run) {
				lostRuns.push(run);
			},
			onFinished() {
				// Lengths are not recorded in these tests.
			},
		},
	);
	/** Reports engines as leaving; they are then neither present nor reachable. */
	const markLeaving = (...ids: string[]) => {
		for (const id of ids) {
			leavingIds.add(id);
			session.engineUnusable(id);
		}
	};

	/** Reports an engine as present but unreachable, as after a refused connection. */
	const markUnreachable = (id: string) => {
		unreachableIds.add(id);
		session.engineUnusable(id);
	};

	/** Sets the engines that are evacuated; the session learns of those that were not before. */
	const evacuate = (...ids: string[]) => {
		const added = ids.filter((id) => !evacuatedIds.has(id));
		evacuatedIds.clear();
		for (const id of ids) {
			evacuatedIds.add(id);
		}

		for (const id of added) {
			session.engineUnusable(id);
		}
	};

	/** Makes all later KV cache copies succeed with this handle. */
	const acceptCopies = (handle: string) => {
		targetClient.copyResult = () => ({
			outcome: 'copied',
			copy: {address: firstEngine.address, handle},
		});
	};

	/** Addresses of the engines to which a KV cache copy was requested, in order, with repetitions. */
	const copyAddresses = () =>
		targetClient.copies.map(({toAddress}) => toAddress);

	return {
		time,
		targetClient,
		response,
		log,
		lostRuns,
		session,
		markLeaving,
		markUnreachable,
		evacuate,
		acceptCopies,
		copyAddresses,
	};
}

/** Returns the text of the event with this id. */
const eventText = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
/** Responds to a send with the head and events, and leaves the stream open. */
export function respondWithEvents(
	{listener}: FakeSend,
	...ids: number[]
): void {
	listener.onHead(fakeResponseHead('q1'));
	for (const id of ids) {
		listener.onData(new TextEncoder().encode(eventText(id)));
	}
}

/** Responds to a send with the head and events, and ends the stream. */
export function respondAndEnd(send: FakeSend, ...ids: number[]): void {
	respondWithEvents(send, ...ids);
	send.listener.onEnd();
}

/** Responds to a send with a 503 that says that the request was not executed. */
export function refuseSend({listener}: FakeSend): void {
	listener.onHead(fakeResponseHead('q1', {status: 503, notExecuted: true}));
	listener.onEnd();
}

/** Fails a send whose request may have been executed. */
export function failSend({listener}: FakeSend, reason = 'reset'): void {
	listener.onFailure({unsent: false, connectionEnded: true, reason});
}

/** Returns the text of the events with these ids. */
export function eventsText(...ids: number[]): string {
	return ids.map((id) => eventText(id)).join('');
}
