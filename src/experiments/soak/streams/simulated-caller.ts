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

/** Behaviour of one caller. It is part of the plan that a failing run prints. */
export type CallerPlan = {
	readonly delivery: Delivery;
	/** False for a caller that reads the answer as one JSON document. */
	readonly resumable: boolean;
	readonly tokens: number;
	readonly startMs: number;
	/** Index of the entry VM of the first connection. */
	readonly entry: number;
	/** Time that the caller needs to read one token. */
	readonly readMs: number;
	/** Time after its start at which the caller disconnects; undefined if it stays. */
	readonly leaveMs: number | undefined;
	/** Time from disconnecting to reconnecting. */
	readonly awayMs: number;
	/** Time from the arrival of each request at the entry VM to its deadline. */
	readonly timeoutMs: number | undefined;
};

export type SimulatedCallerOptions = {
	readonly name: string;
	readonly plan: CallerPlan;
	readonly time: VirtualTime;
	readonly invariants: InvariantMonitor;
	/** Returns the current entry VMs. */
	readonly entries: () => readonly SimulatedEntry[];
	/**
	 * Returns whether an injected fault or a long absence of the caller explains the loss of a generation.
	 * @param awayMs - time for which the caller was disconnected
	 */
	readonly isLossExpected: (generationId: string, awayMs: number) => boolean;
	readonly trace: (line: string) => void;
};

/**
 * A caller that checks every token and reconnects to another entry VM after a failure, until its answer
 * is complete or has failed for good.
 */
export type SimulatedCaller = {
	readonly isDone: boolean;
	readonly name: string;
};

const latencyMs = 3;
const defaultRetryMs = 200;
const maxUnreadTokens = 20;
const maxTokens = 1000;

/** Starts a caller; it connects `plan.startMs` later. */
export function startCaller(options: SimulatedCallerOptions): SimulatedCaller {
	const {plan, time, invariants, name, trace} = options;
	const prompt = `caller ${name} tokens=${plan.tokens}`;
	let placement: GenerationPlacement | undefined;
	let receivedTexts: string[] = [];
	let connection: CallerConnection | undefined;
	let nextEntryIndex = plan.entry;
	let isDone = false;
	let isDisconnected = false;
	let disconnectedMs = 0;

	const request: GenerationRequest = {
		account: 'account',
		requestClass: 'default',
		model: 'model',
		prompt,
		maxTokens,
		delivery: plan.delivery,
	};

	const connectLater = (delayMs: number) => {
		time.after(delayMs, connect);
	};

	const restart = (delayMs: number) => {
		placement = undefined;
		receivedTexts = [];
		connectLater(delayMs);
	};

	const handleFailure = (problem: ProblemError) => {
		const {type, retryAfterMs = defaultRetryMs} = problem;
		trace(`${name} got ${type}: ${problem.detail}`);
		if (type === 'not-run') {
			restart(retryAfterMs);
			return;
		}

		if (type === 'generation-lost' && plan.delivery !== 'live') {
			restart(retryAfterMs);
			return;
		}

		isDone = true;
		// A deadline cancels the generation. If the entry VM fails before it reports the deadline, the resumed
		// caller finds the generation lost.
		const isFailureExpected =
			type === 'generation-lost'
				? plan.timeoutMs !== undefined ||
					(placement !== undefined &&
						options.isLossExpected(placement.generationId, disconnectedMs))
				: type === 'deadline-exceeded' && plan.timeoutMs !== undefined;
		invariants.check(
			'whole-answer',
			isFailureExpected,
			() =>
				`${name} got ${type} on ${placement?.generationId}, which the plan does not explain`,
		);
	};

	const listener: ConnectionListener = {
		onPlacement(newPlacement, position) {
			const isOtherGeneration =
				newPlacement.generationId !== placement?.generationId;
			invariants.check(
				'token-order',
				position === 0 || !isOtherGeneration || receivedTexts.length === 0,
				() => `${name} got ${newPlacement.generationId} without a restart`,
			);
			placement = newPlacement;
			if (isOtherGeneration) {
				receivedTexts = [];
			}
		},
		onToken(position, text) {
			const expected = tokenText(placement!.generationId, receivedTexts.length);
			receivedTexts.push(text);
			invariants.check(
				'token-order',
				position === receivedTexts.length && text === expected,
				() => `${name} got "${text}" at ${position}, expected "${expected}"`,
			);
		},
		onFinished(_reason, tokenCount) {
			isDone = true;
			const expected = outputTokensFor(prompt, maxTokens);
			invariants.check(
				'whole-answer',
				receivedTexts.length === expected && tokenCount === expected,
				() =>
					`${name} has ${receivedTexts.length} of ${expected} tokens; the reported count is ${tokenCount}`,
			);
		},
		onFailed: handleFailure,
		onBroken() {
			if (!isDone && !isDisconnected) {
				nextEntryIndex++;
				if (!plan.resumable) {
					placement = undefined;
					receivedTexts = [];
				}

				connectLater(defaultRetryMs);
			}
		},
	};

	const connect = () => {
		if (isDone || isDisconnected || (connection && !connection.isClosed)) {
			return;
		}

		const entries = options.entries();
		const entry = entries[nextEntryIndex % entries.length];
		const newConnection = createCallerConnection({
			time,
			latencyMs,
			readMsPerToken: plan.readMs,
			maxUnreadTokens,
			resumable: plan.resumable,
			listener,
		});
		connection = newConnection;
		time.after(latencyMs, () => {
			if (newConnection.isClosed) {
				return;
			}

			if (!entry.acceptsConnections) {
				newConnection.abort();
				return;
			}

			const deadlineMs =
				plan.timeoutMs === undefined
					? undefined
					: time.nowMs() + plan.timeoutMs;
			const resumption = placement && {
				placement,
				position: receivedTexts.length,
			};
			entry.open({...request, deadlineMs}, newConnection, resumption);
		});
	};

	time.after(plan.startMs, connect);
	if (plan.leaveMs !== undefined) {
		time.after(plan.startMs + plan.leaveMs, () => {
			if (isDone) {
				return;
			}

			isDisconnected = true;
			disconnectedMs = plan.awayMs;
			connection?.closeByCaller();
			if (!plan.resumable) {
				placement = undefined;
				receivedTexts = [];
			}

			time.after(plan.awayMs, () => {
				isDisconnected = false;
				nextEntryIndex++;
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
