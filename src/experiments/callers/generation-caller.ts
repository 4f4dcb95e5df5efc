import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {request} from 'undici';

/** Outcome of a generation as its caller observed it. */
export type GenerationCallOutcome = {
	/** True if each token arrived once, in order and from the same generation. */
	readonly isComplete: boolean;
	/** Tokens received since the last restart. */
	readonly tokens: number;
	/** Restart events, each of which discards the tokens before it. */
	readonly restarts: number;
	/** Further connections, whether to resume or after a refusal. */
	readonly resumes: number;
	/** Problem type that the last connection got, if any. */
	readonly problem: string | undefined;
	/** True once an event with an id arrived, which shows that an entry VM accepted the request. */
	readonly isAccepted: boolean;
};

/** Options of `callGeneration`. */
export type GenerationCallerOptions = {
	/** Base URLs of the entry VMs; each connection goes to the next one. */
	readonly entryUrls: readonly string[];
	readonly token: string;
	readonly model: string;
	readonly prompt: string;
	readonly delivery: 'whole' | 'restartable' | 'live';
	/** Class of the request; the default class if undefined. */
	readonly requestClass?: string;
	/** Maximum number of connections, one after the other. */
	readonly maxAttempts: number;
	/**
	 * Called for each token with the time since the previous one, or since the start if there was
	 * none. `isFirst` is also true for the first token after a restart.
	 */
	readonly onGap?: (gapMs: number, isFirst: boolean) => void;
};

/** What the caller has received so far, over all connections. */
type Progress = {
	texts: string[];
	lastEventId: string | undefined;
	complete: boolean;
	restarts: number;
	problem: string | undefined;
	expectedTokens: number;
	lastTokenAtMs: number;
};

const retryDelayMs = 200;

function handleEvent(
	progress: Progress,
	{event, id, data}: EventSourceMessage,
	onGap: GenerationCallerOptions['onGap'],
): void {
	if (event === 'error') {
		progress.problem = (JSON.parse(data) as {type: string}).type;
		return;
	}

	if (event === 'restart') {
		progress.texts = [];
		progress.restarts++;
	}

	if (id !== undefined) {
		progress.lastEventId = id;
	}

	if (data === '[DONE]') {
		progress.complete = true;
	} else if (event === undefined) {
		const chunk = JSON.parse(data) as {
			choices: Array<{text: string}>;
			usage?: {completion_tokens: number};
		};
		if (chunk.usage) {
			progress.expectedTokens = chunk.usage.completion_tokens;
		} else {
			const nowMs = performance.now();
			onGap?.(nowMs - progress.lastTokenAtMs, progress.texts.length === 0);
			progress.lastTokenAtMs = nowMs;
			progress.texts.push(chunk.choices[0].text);
		}
	}
}

/** Opens a connection and reads its events until it ends; a refusal sets the problem. */
async function connect(
	url: string,
	options: GenerationCallerOptions,
	progress: Progress,
): Promise<void> {
	const parser = createParser({
		onEvent(message) {
			handleEvent(progress, message, options.onGap);
		},
	});
	const response = await request(`${url}/v1/completions`, {
		method: 'POST',
		headers: {
			'content-type': 'application/json',
			authorization: `Bearer ${options.token}`,
			...(progress.lastEventId === undefined
				? {}
				: {'last-event-id': progress.lastEventId}),
		},
		body: JSON.stringify({
			model: options.model,
			prompt: options.prompt,
			class: options.requestClass,
			delivery: options.delivery,
			stream: true,
		}),
	});
	if (response.statusCode !== 200) {
		const body = (await response.body.json()) as {type: string};
		progress.problem = body.type;
		return;
	}

	const decoder = new TextDecoder();
	for await (const data of response.body as AsyncIterable<Uint8Array>) {
		parser.feed(decoder.decode(data, {stream: true}));
	}
}

/** True if the texts are those that the stand-in engine sends for one generation, without gaps. */
function isWhole(progress: Progress): boolean {
	const [generationId] = (progress.texts[0] ?? '').split(':');
	return (
		progress.texts.length === progress.expectedTokens &&
		progress.texts.every(
			(text, position) => text === `${generationId}:${position} `,
		)
	);
}

/**
 * Requests a generation. When a connection breaks, it resumes through the next entry VM from the
 * last event received.
 */
export async function callGeneration(
	options: GenerationCallerOptions,
): Promise<GenerationCallOutcome> {
	const progress: Progress = {
		texts: [],
		lastEventId: undefined,
		complete: false,
		restarts: 0,
		problem: undefined,
		expectedTokens: -1,
		lastTokenAtMs: performance.now(),
	};
	let attempts = 0;
	while (!progress.complete && attempts < options.maxAttempts) {
		const url = options.entryUrls[attempts % options.entryUrls.length];
		attempts++;
		progress.problem = undefined;
		try {
			await connect(url, options, progress);
		} catch {
			// The connection failed; the loop resumes through the next entry VM.
		}

		if (!progress.complete) {
			await new Promise((resolve) => {
				setTimeout(resolve, retryDelayMs);
			});
		}
	}

	return {
		isComplete: progress.complete && isWhole(progress),
		tokens: progress.texts.length,
		restarts: progress.restarts,
		resumes: attempts - 1,
		problem: progress.problem,
		isAccepted: progress.lastEventId !== undefined,
	};
}
