import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {request} from 'undici';

/** Outcome of one generation as its caller saw it. */
export type GenerationCallOutcome = {
	/** True if every token came once, in order and from one generation. */
	readonly isComplete: boolean;
	readonly tokens: number;
	readonly restarts: number;
	readonly resumes: number;
	/** Type of the last problem that the caller was shown. */
	readonly problem: string | undefined;
	/** True once an entry VM accepted the request. */
	readonly isAccepted: boolean;
};

/** Options of a caller. */
export type GenerationCallerOptions = {
	/** Base URLs of the entry VMs; the caller moves on when one fails. */
	readonly entryUrls: readonly string[];
	readonly token: string;
	readonly model: string;
	readonly prompt: string;
	readonly delivery: 'whole' | 'restartable' | 'live';
	/** Class of the request; the default class if absent. */
	readonly requestClass?: string;
	/** Number of connections that the caller tries. */
	readonly maxAttempts: number;
	/** Called with the time since the last token, or since the request for the first one. */
	readonly onGap?: (gapMs: number, isFirst: boolean) => void;
};

type Answer = {
	texts: string[];
	lastEventId: string | undefined;
	complete: boolean;
	restarts: number;
	problem: string | undefined;
	expectedTokens: number;
	lastTokenAtMs: number;
};

const retryDelayMs = 200;

function takeEvent(
	answer: Answer,
	{event, id, data}: EventSourceMessage,
	onGap: GenerationCallerOptions['onGap'],
): void {
	if (event === 'error') {
		answer.problem = (JSON.parse(data) as {type: string}).type;
		return;
	}

	if (event === 'restart') {
		answer.texts = [];
		answer.restarts++;
	}

	if (id !== undefined) {
		answer.lastEventId = id;
	}

	if (data === '[DONE]') {
		answer.complete = true;
	} else if (event === undefined) {
		const chunk = JSON.parse(data) as {
			choices: Array<{text: string}>;
			usage?: {completion_tokens: number};
		};
		if (chunk.usage) {
			answer.expectedTokens = chunk.usage.completion_tokens;
		} else {
			const nowMs = performance.now();
			onGap?.(nowMs - answer.lastTokenAtMs, answer.texts.length === 0);
			answer.lastTokenAtMs = nowMs;
			answer.texts.push(chunk.choices[0].text);
		}
	}
}

async function connect(
	url: string,
	options: GenerationCallerOptions,
	answer: Answer,
): Promise<void> {
	const parser = createParser({
		onEvent(message) {
			takeEvent(answer, message, options.onGap);
		},
	});
	const response = await request(`${url}/v1/completions`, {
		method: 'POST',
		headers: {
			'content-type': 'application/json',
			authorization: `Bearer ${options.token}`,
			...(answer.lastEventId === undefined
				? {}
				: {'last-event-id': answer.lastEventId}),
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
		answer.problem = body.type;
		return;
	}

	const decoder = new TextDecoder();
	for await (const data of response.body as AsyncIterable<Uint8Array>) {
		parser.feed(decoder.decode(data, {stream: true}));
	}
}

/** True if the stand-in's texts are the positions of one generation without gaps. */
function isWhole(answer: Answer): boolean {
	const [generationId] = (answer.texts[0] ?? '').split(':');
	return (
		answer.texts.length === answer.expectedTokens &&
		answer.texts.every(
			(text, position) => text === `${generationId}:${position} `,
		)
	);
}

/** Asks for one generation, resuming through the other entry VMs when a connection breaks. */
export async function callGeneration(
	options: GenerationCallerOptions,
): Promise<GenerationCallOutcome> {
	const answer: Answer = {
		texts: [],
		lastEventId: undefined,
		complete: false,
		restarts: 0,
		problem: undefined,
		expectedTokens: -1,
		lastTokenAtMs: performance.now(),
	};
	let connections = 0;
	while (!answer.complete && connections < options.maxAttempts) {
		const url = options.entryUrls[connections % options.entryUrls.length];
		connections++;
		answer.problem = undefined;
		try {
			await connect(url, options, answer);
		} catch {
			// The connection broke; the loop resumes through the next entry VM.
		}

		if (!answer.complete) {
			await new Promise((resolve) => {
				setTimeout(resolve, retryDelayMs);
			});
		}
	}

	return {
		isComplete: answer.complete && isWhole(answer),
		tokens: answer.texts.length,
		restarts: answer.restarts,
		resumes: connections - 1,
		problem: answer.problem,
		isAccepted: answer.lastEventId !== undefined,
	};
}
