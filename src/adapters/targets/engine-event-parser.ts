import {type Buffer, isAscii} from 'node:buffer';
import {createParser, type EventSourceParser} from 'eventsource-parser';
import {type FinishReason, ProblemError} from '../../common/index.js';
import {createTokenEventTemplate} from './token-event-template.js';

/** Receives the events of an engine's stream. */
export type EngineEventListener = {
	onToken(position: number, text: string): void;
	onFinish(reason: FinishReason, tokenCount: number): void;
};

/** Parses an engine's event stream. */
export type EngineEventParser = {
	/** @throws ProblemError `target-protocol` if an event is malformed, too long or of another generation */
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

// Bytes of characters that take several bytes are at least this.
const firstMultibyte = 0x80;
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
		throw malformed('event is not valid JSON', error as Error);
	}
}

/**
 * Creates a parser. Token events of the form seen before are read from the bytes, others of the usual
 * form, one `id` and one `data` line, are taken apart directly; any other form goes through eventsource-parser.
 * @param generationId - generation whose tokens are expected
 * @param maxEventBytes - longest event, in UTF-16 code units
 */
export function createEngineEventParser(
	generationId: string,
	maxEventBytes: number,
	events: EngineEventListener,
): EngineEventParser {
	const decoder = new TextDecoder();
	let rest = '';
	let general: EventSourceParser | undefined;
	let isGeneral = false;
	let isBetweenCharacters = true;

	const known = createTokenEventTemplate((position, text) => {
		events.onToken(position, text);
	});

	const take = (id: string | undefined, data: string) => {
		if (data === '[DONE]') {
			return;
		}

		const chunk = parseChunk(data);
		if (chunk === null || typeof chunk !== 'object') {
			throw malformed('event is not a JSON object');
		}

		if (chunk.id !== undefined && chunk.id !== generationId) {
			throw malformed('event belongs to another generation');
		}

		const choice = chunk.choices?.[0];
		if (choice?.finish_reason) {
			const count = chunk.usage?.completion_tokens;
			if (!Number.isSafeInteger(count) || count! < 0) {
				throw malformed('end of the answer does not tell its length');
			}

			events.onFinish(choice.finish_reason, count!);
		} else if (
			typeof choice?.text === 'string' &&
			id !== undefined &&
			positionPattern.test(id)
		) {
			known.learn(data, choice.text);
			events.onToken(Number(id), choice.text);
		} else {
			throw malformed('event holds neither a token nor an end');
		}
	};

	const takeUsual = (event: string) => {
		if (event.startsWith(dataField) && !event.includes('\n')) {
			take(undefined, event.slice(dataField.length));
			return;
		}

		const lineEnd = event.indexOf('\n');
		const dataStart = lineEnd + 1 + dataField.length;
		if (
			event.startsWith(idField) &&
			event.startsWith(dataField, lineEnd + 1) &&
			!event.includes('\n', dataStart)
		) {
			take(event.slice(idField.length, lineEnd), event.slice(dataStart));
		} else {
			feedGeneral(event + eventEnd);
		}
	};

	const feedGeneral = (text: string) => {
		general ??= createParser({
			onEvent({id, data}) {
				take(id, data);
			},
			maxBufferSize: maxEventBytes,
			onError(error) {
				if (error.type === 'max-buffer-size-exceeded') {
					throw malformed('event is too long', error);
				}
			},
		});
		general.feed(text);
	};

	const decode = (data: Buffer): string => {
		if (isBetweenCharacters && isAscii(data)) {
			return data.toString('latin1');
		}

		isBetweenCharacters = data.length > 0 && data.at(-1)! < firstMultibyte;
		return decoder.decode(data, {stream: true});
	};

	/** @returns number of bytes at the start of the chunk that held events of the known form */
	const feedKnown = (data: Buffer): number => {
		let start = 0;
		if (isGeneral || rest !== '' || !isBetweenCharacters) {
			return start;
		}

		for (;;) {
			const next = known.read(data, start);
			if (next === -1) {
				return start;
			}

			start = next;
		}
	};

	return {
		feed(data) {
			const readCount = feedKnown(data);
			if (readCount === data.length) {
				return;
			}

			const text = decode(readCount === 0 ? data : data.subarray(readCount));
			// Other line ends than the usual one are left to the general parser from here on.
			if (isGeneral || text.includes('\r')) {
				isGeneral = true;
				const all = rest + text;
				rest = '';
				feedGeneral(all);
				return;
			}

			rest += text;

			let start = 0;
			for (;;) {
				const end = rest.indexOf(eventEnd, start);
				if (end === -1) {
					break;
				}

				takeUsual(rest.slice(start, end));
				start = end + eventEnd.length;
			}

			rest = start === rest.length ? '' : rest.slice(start);
			if (rest.length > maxEventBytes) {
				throw malformed('event is too long');
			}
		},
	};
}
