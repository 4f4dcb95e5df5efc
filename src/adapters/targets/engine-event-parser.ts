import {type Buffer, isAscii} from 'node:buffer';
import {createParser, type EventSourceParser} from 'eventsource-parser';
import {type FinishReason, ProblemError} from '../../common/index.js';
import {createTokenEventTemplate} from './token-event-template.js';

/** Receives the parsed events of an engine's stream. */
export type EngineEventListener = {
	onToken(position: number, text: string): void;
	onFinish(reason: FinishReason, tokenCount: number): void;
};

/** Parses an engine's event stream. */
export type EngineEventParser = {
	/**
	 * Parses the next bytes of the stream; they may start and end anywhere in an event.
	 * @throws ProblemError `target-protocol` if an event is malformed, too long or of another generation
	 */
	feed(data: Buffer): void;
};

type WireChunk = {
	readonly id?: string;
	readonly choices?: ReadonlyArray<{
		readonly text?: string;
		readonly finish_reason?: FinishReason | null;
	}>;
	readonly usage?: {readonly completion_tokens: number};
};

// Every byte of a multi-byte UTF-8 character is at least this.
const firstNonAscii = 0x80;
const idField = 'id: ';
const dataField = 'data: ';
const eventEnd = '\n\n';
const positionPattern = /^\d{1,9}$/;

function malformed(message: string, cause?: Error): ProblemError {
	return new ProblemError('target-protocol', message, {cause});
}

function parseChunk(data: string): WireChunk {
	try {
		return JSON.parse(data) as WireChunk;
	} catch (error) {
		throw malformed('event data is not valid JSON', error as Error);
	}
}

/**
 * Creates a parser. Common events bypass eventsource-parser to save processor time: a token event that
 * differs from an earlier one in position and text only is read from its bytes; an event of one `data`
 * line, with or without an `id` line before it, is split directly. All others go through
 * eventsource-parser.
 * @param generationId - id that events must have, if they have one
 * @param maxEventLength - largest size of an event, in UTF-16 code units
 */
export function createEngineEventParser(
	generationId: string,
	maxEventLength: number,
	events: EngineEventListener,
): EngineEventParser {
	const decoder = new TextDecoder();
	/** Start of an event whose end has not been received. */
	let incomplete = '';
	let fallbackParser: EventSourceParser | undefined;
	/** True once all events go through the fallback parser. */
	let usesFallback = false;
	/** False while the last character received may be incomplete. */
	let isAtCharacterBoundary = true;

	const template = createTokenEventTemplate((position, text) => {
		events.onToken(position, text);
	});

	const handleEvent = (id: string | undefined, data: string) => {
		if (data === '[DONE]') {
			return;
		}

		const chunk = parseChunk(data);
		if (chunk === null || typeof chunk !== 'object') {
			throw malformed('event data is not a JSON object');
		}

		if (chunk.id !== undefined && chunk.id !== generationId) {
			throw malformed('event belongs to another generation');
		}

		const choice = chunk.choices?.[0];
		if (choice?.finish_reason) {
			const count = chunk.usage?.completion_tokens;
			if (!Number.isSafeInteger(count) || count! < 0) {
				throw malformed('last event has no valid usage.completion_tokens');
			}

			events.onFinish(choice.finish_reason, count!);
		} else if (
			typeof choice?.text === 'string' &&
			id !== undefined &&
			positionPattern.test(id)
		) {
			template.learn(data, choice.text);
			events.onToken(Number(id), choice.text);
		} else {
			throw malformed(
				'event has neither a token with a position nor a finish_reason',
			);
		}
	};

	const parseEvent = (event: string) => {
		if (event.startsWith(dataField) && !event.includes('\n')) {
			handleEvent(undefined, event.slice(dataField.length));
			return;
		}

		const lineEnd = event.indexOf('\n');
		const dataStart = lineEnd + 1 + dataField.length;
		if (
			event.startsWith(idField) &&
			event.startsWith(dataField, lineEnd + 1) &&
			!event.includes('\n', dataStart)
		) {
			handleEvent(event.slice(idField.length, lineEnd), event.slice(dataStart));
		} else {
			feedFallback(event + eventEnd);
		}
	};

	const feedFallback = (text: string) => {
		fallbackParser ??= createParser({
			onEvent({id, data}) {
				handleEvent(id, data);
			},
			maxBufferSize: maxEventLength,
			onError(error) {
				if (error.type === 'max-buffer-size-exceeded') {
					throw malformed('event is too long', error);
				}
			},
		});
		fallbackParser.feed(text);
	};

	const decode = (data: Buffer): string => {
		if (isAtCharacterBoundary && isAscii(data)) {
			return data.toString('latin1');
		}

		isAtCharacterBoundary = data.length > 0 && data.at(-1)! < firstNonAscii;
		return decoder.decode(data, {stream: true});
	};

	/** @returns number of bytes at the start of `data` that were events of the template */
	const readByTemplate = (data: Buffer): number => {
		let start = 0;
		if (usesFallback || incomplete !== '' || !isAtCharacterBoundary) {
			return start;
		}

		for (;;) {
			const next = template.read(data, start);
			if (next === -1) {
				return start;
			}

			start = next;
		}
	};

	return {
		feed(data) {
			const consumedBytes = readByTemplate(data);
			if (consumedBytes === data.length) {
				return;
			}

			const text = decode(
				consumedBytes === 0 ? data : data.subarray(consumedBytes),
			);
			// CR and CRLF line ends are left to the fallback parser, from here to the end of the stream.
			if (usesFallback || text.includes('\r')) {
				usesFallback = true;
				const unparsed = incomplete + text;
				incomplete = '';
				feedFallback(unparsed);
				return;
			}

			incomplete += text;

			let start = 0;
			for (;;) {
				const end = incomplete.indexOf(eventEnd, start);
				if (end === -1) {
					break;
				}

				parseEvent(incomplete.slice(start, end));
				start = end + eventEnd.length;
			}

			incomplete = start === incomplete.length ? '' : incomplete.slice(start);
			if (incomplete.length > maxEventLength) {
				throw malformed('event is too long');
			}
		},
	};
}
