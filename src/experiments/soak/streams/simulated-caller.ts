import type {
	Delivery,
	InvariantMonitor,
	ProblemError,
} from '../../../common/index.js';
import type {
	GenerationPlacement,
	GenerationRequest,
} from '../../../decisions/streams/index.js';
import {outputTokensFor, tokenText} from '../../../standins/engine/index.js';
import type {VirtualTime} from '../../fakes/index.js';
import {
	type CallerConnection,
	type ConnectionListener,
	createCallerConnection,
} from './caller-connection.js';
import type {SimulatedEntry} from './simulated-entry.js';

/** How one caller behaves. */
export type CallerPlan = {
	readonly delivery: Delivery;
	/** False for a caller that takes one JSON document. */
	readonly resumable: boolean;
	readonly tokens: number;
	readonly startMs: number;
	readonly entry: number;
	/** Time that the caller needs for one token, in milliseconds. */
	readonly readMs: number;
	/** Time after its first connection at which it goes away, in milliseconds. */
	readonly leaveMs: number | undefined;
	/** How long it stays away, in milliseconds. */
	readonly awayMs: number;
	readonly timeoutMs: number | undefined;
};

/** What callers work with. */
export type SimulatedCallerOptions = {
	readonly name: string;
	readonly plan: CallerPlan;
	readonly time: VirtualTime;
	readonly invariants: InvariantMonitor;
	/** Entry VMs as they are now. */
	readonly entries: () => readonly SimulatedEntry[];
	/** Whether a generation was lost through no fault of the relay. */
	readonly isLossExpected: (generationId: string, awayMs: number) => boolean;
	readonly trace: (line: string) => void;
};

/** A caller that checks every token and goes on through other entry VMs until it has its answer. */
export type SimulatedCaller = {
	readonly isDone: boolean;
	readonly name: string;
};

const latencyMs = 3;
const retryMs = 200;
const maxUnreadTokens = 20;
const maxTokens = 1000;

/** Starts a caller. */
export function startCaller(options: SimulatedCallerOptions): SimulatedCaller {
	const {plan, time, invariants, name, trace} = options;
	const prompt = `caller ${name} tokens=${plan.tokens}`;
	let place: GenerationPlacement | undefined;
	let texts: string[] = [];
	let connection: CallerConnection | undefined;
	let nextEntry = plan.entry;
	let isDone = false;
	let isAway = false;
	let awayMs = 0;

	const request: GenerationRequest = {
		account: 'account',
		requestClass: 'default',
		model: 'model',
		prompt,
		maxTokens,
		delivery: plan.delivery,
	};

	const askLater = (delayMs: number) => {
		time.after(delayMs, connect);
	};

	const startOver = (delayMs: number) => {
		place = undefined;
		texts = [];
		askLater(delayMs);
	};

	const failed = (problem: ProblemError) => {
		const {type, retryAfterMs = retryMs} = problem;
		trace(`${name} got ${type}: ${problem.detail}`);
		if (type === 'not-run') {
			startOver(retryAfterMs);
			return;
		}

		if (type === 'generation-lost' && plan.delivery !== 'live') {
			startOver(retryAfterMs);
			return;
		}

		isDone = true;
		// A deadline cancels the generation; the answer that says so may be lost with its entry VM.
		const isExcused =
			type === 'generation-lost'
				? plan.timeoutMs !== undefined ||
					(place !== undefined &&
						options.isLossExpected(place.generationId, awayMs))
				: type === 'deadline-exceeded' && plan.timeoutMs !== undefined;
		invariants.check(
			'whole-answer',
			isExcused,
			() => `${name} got ${type} on ${place?.generationId} without a fault`,
		);
	};

	const listener: ConnectionListener = {
		onPlacement(given, position) {
			const isOther = given.generationId !== place?.generationId;
			invariants.check(
				'token-order',
				position === 0 || !isOther || texts.length === 0,
				() => `${name} got ${given.generationId} without a restart`,
			);
			place = given;
			if (isOther) {
				texts = [];
			}
		},
		onToken(position, text) {
			const expected = tokenText(place!.generationId, texts.length);
			texts.push(text);
			invariants.check(
				'token-order',
				position === texts.length && text === expected,
				() => `${name} got "${text}" at ${position}, expected "${expected}"`,
			);
		},
		onFinished(_reason, tokenCount) {
			isDone = true;
			const expected = outputTokensFor(prompt, maxTokens);
			invariants.check(
				'whole-answer',
				texts.length === expected && tokenCount === expected,
				() =>
					`${name} has ${texts.length} of ${expected} tokens, told ${tokenCount}`,
			);
		},
		onFailed: failed,
		onBroken() {
			if (!isDone && !isAway) {
				nextEntry++;
				if (!plan.resumable) {
					place = undefined;
					texts = [];
				}

				askLater(retryMs);
			}
		},
	};

	const connect = () => {
		if (isDone || isAway || (connection && !connection.isClosed)) {
			return;
		}

		const entries = options.entries();
		const entry = entries[nextEntry % entries.length];
		const own = createCallerConnection({
			time,
			latencyMs,
			readMsPerToken: plan.readMs,
			maxUnreadTokens,
			resumable: plan.resumable,
			listener,
		});
		connection = own;
		time.after(latencyMs, () => {
			if (own.isClosed) {
				return;
			}

			if (!entry.acceptsConnections) {
				own.abort();
				return;
			}

			const deadlineMs =
				plan.timeoutMs === undefined
					? undefined
					: time.nowMs() + plan.timeoutMs;
			const from = place && {place, position: texts.length};
			entry.open({...request, deadlineMs}, own, from);
		});
	};

	time.after(plan.startMs, connect);
	if (plan.leaveMs !== undefined) {
		time.after(plan.startMs + plan.leaveMs, () => {
			if (isDone) {
				return;
			}

			isAway = true;
			awayMs = plan.awayMs;
			connection?.closeByCaller();
			if (!plan.resumable) {
				place = undefined;
				texts = [];
			}

			time.after(plan.awayMs, () => {
				isAway = false;
				nextEntry++;
				connect();
			});
		});
	}

	return {
		name,
		get isDone() {
			return isDone;
		},
	};
}
