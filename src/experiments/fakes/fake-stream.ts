import type {TargetEntry} from '../../common/index.js';
import {
	type RetryShareOptions,
	startStreamSession,
} from '../../decisions/serving/index.js';
import {fakeAdmittedRequest, fakeTargetEntry} from './admitted-request.js';
import {createFakeCallerResponse} from './fake-caller-response.js';
import {fakeSessionServices} from './fake-session-services.js';
import {
	fakeResponseHead,
	type FakeSend,
	FakeTargetClient,
} from './fake-target-client.js';
import {VirtualTime} from './virtual-time.js';

/** Engines of a fake stream, in the order in which they are tried. */
export const testEngines = [
	fakeTargetEntry('e1'),
	fakeTargetEntry('e2'),
	fakeTargetEntry('e3'),
] as const;

/** What a fake stream meets. */
export type TestStreamOptions = {
	readonly backup?: TargetEntry;
	readonly promptTokens?: number;
	readonly isLate?: boolean;
	readonly areDeparturesReported?: boolean;
	/** Every engine is full, so that the stream waits. */
	readonly areEnginesFull?: boolean;
	/** Answers questions for repeated sends, of which the VM has none itself then. */
	readonly askPool?: RetryShareOptions['askPool'];
};

/** Starts a stream whose engines and time a test plays. */
export function startTestStream(setup: TestStreamOptions = {}) {
	const [firstEngine, secondEngine, thirdEngine] = testEngines;
	const time = new VirtualTime();
	const link = new FakeTargetClient();
	const reply = createFakeCallerResponse();
	const log: Array<{event: string; record: Readonly<Record<string, unknown>>}> =
		[];
	const left = new Set<string>();
	const down = new Set<string>();
	const {promptTokens = 3000} = setup;
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
		reply,
		{
			...fakeSessionServices(
				time,
				link,
				(event, record) => {
					log.push({event, record});
				},
				setup.askPool,
			),
			place(_admitted, avoid, listener) {
				const target = [firstEngine, secondEngine, thirdEngine].find(
					({id}) => !avoid.has(id),
				);
				if (setup.areEnginesFull) {
					// The scheduler answers once memory is freed.
				} else if (target) {
					listener.onPlaced({
						id: 'q1.1',
						target,
						backup: setup.backup,
						firstTokenMs: 200,
						memoryFraction: 0.5,
						isLate: setup.isLate ?? false,
						decidedBy: 'vm-1',
					});
				} else {
					listener.onRefused('no engine of the service is usable', 700);
				}

				return {
					dispose() {
						// The answer has been given.
					},
				};
			},
			placeCopy: async (_run, avoid) =>
				[thirdEngine, secondEngine].find(
					({id}) => !avoid.has(id) && !left.has(id),
				),
			isPresent: (id) => !left.has(id),
			isReachable: (id) => !left.has(id) && !down.has(id),
			areDeparturesReported: () => setup.areDeparturesReported ?? true,
			trackRun: () => ({
				progressed() {
					// Load is not counted here.
				},
				copied() {
					// Load is not counted here.
				},
				dispose() {
					// Load is not counted here.
				},
			}),
			onFinished() {
				// Lengths are not kept here.
			},
		},
	);
	const leave = (...ids: string[]) => {
		for (const id of ids) {
			left.add(id);
			session.engineUnusable(id);
		}
	};

	const refuse = (id: string) => {
		down.add(id);
		session.engineUnusable(id);
	};

	/** Has the link copy memory under a handle from now on. */
	const copyAs = (handle: string) => {
		link.copyResult = () => ({
			outcome: 'copied',
			copy: {address: firstEngine.address, handle},
		});
	};

	/** Engines to which memory was copied. */
	const copiedTo = () => link.copies.map(({toAddress}) => toAddress);

	return {
		time,
		link,
		reply,
		log,
		session,
		leave,
		refuse,
		copyAs,
		copiedTo,
	};
}

/** Text of an event of a fake stream. */
const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
/** Answers a send with events. */
export function respondWithEvents(
	{listener}: FakeSend,
	...ids: number[]
): void {
	listener.onHead(fakeResponseHead('q1'));
	for (const id of ids) {
		listener.onData(new TextEncoder().encode(event(id)));
	}
}

/** Answers a send with the rest of its stream and ends it. */
export function respondAndEnd(send: FakeSend, ...ids: number[]): void {
	respondWithEvents(send, ...ids);
	send.listener.onEnd();
}

/** Refuses a send, which has not run. */
export function refuseSend({listener}: FakeSend): void {
	listener.onHead(fakeResponseHead('q1', {status: 503, notExecuted: true}));
	listener.onEnd();
}

/** Fails a send that may have run. */
export function failSend({listener}: FakeSend, reason = 'reset'): void {
	listener.onFailure({unsent: false, reason});
}

/** Text of events of a fake stream. */
export function eventsText(...ids: number[]): string {
	return ids.map((id) => event(id)).join('');
}
