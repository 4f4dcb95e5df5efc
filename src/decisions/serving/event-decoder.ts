/** One complete event of a stream. */
export type StreamEvent = {
	/** Number in the `id` field. */
	readonly id: number;
	/** The event as received, with the comments and blank lines before it. */
	readonly bytes: Uint8Array;
};

/** An event, or why the bytes are none. */
export type DecodedEvent =
	| {readonly event: StreamEvent; readonly problem?: undefined}
	| {readonly event?: undefined; readonly problem: string};

/** Checks and decodes the events of one response in their order. */
export type EventDecoder = {
	/** Id of the last event; undefined before the first one. */
	readonly lastId: number | undefined;
	decode(bytes: Uint8Array): DecodedEvent;
};

/** Fields that server-sent events may have besides `id` and `data`. */
const otherFields: ReadonlySet<string> = new Set(['event', 'retry']);
/** Length of a line as quoted in a problem, in characters. */
const maxQuotedLength = 40;
const latin1 = new TextDecoder('latin1');

const quote = (line: string) => JSON.stringify(line.slice(0, maxQuotedLength));

function splitField(line: string): {name: string; value: string} {
	const colonAt = line.indexOf(':');
	return colonAt === -1
		? {name: line, value: ''}
		: {
				name: line.slice(0, colonAt),
				value: line.slice(colonAt + 1).replace(/^ /, ''),
			};
}

/** Collects the fields of one event. */
function createFieldReader(extraFields: ReadonlySet<string>) {
	let id: number | undefined;
	let hasData = false;
	let hasFields = false;

	const readId = (value: string): string | undefined => {
		if (id !== undefined) {
			return 'two ids';
		}

		if (!/^\d+$/.test(value)) {
			return `the id ${quote(value)}`;
		}

		id = Number(value);
		return undefined;
	};

	return {
		get id() {
			return id;
		},
		get hasData() {
			return hasData;
		},
		/** @returns why the line cannot be part of an event */
		readLine(line: string): string | undefined {
			if (line === '') {
				return undefined;
			}

			if (line.includes('\r')) {
				return `a carriage return in the line ${quote(line)}`;
			}

			const {name, value} = splitField(line);
			if (name === '') {
				return hasFields ? 'a comment among its fields' : undefined;
			}

			hasFields = true;
			if (name === 'id') {
				return readId(value);
			}

			hasData ||= name === 'data';
			const isKnown =
				name === 'data' || otherFields.has(name) || extraFields.has(name);
			return isKnown ? undefined : `the line ${quote(line)}`;
		},
	};
}

/**
 * Decodes one event strictly. An event with a damaged byte could otherwise reach the caller without being
 * counted, and come again when the run goes on elsewhere.
 */
function decodeEvent(
	bytes: Uint8Array,
	extraFields: ReadonlySet<string>,
): DecodedEvent {
	const reader = createFieldReader(extraFields);
	for (const line of latin1.decode(bytes).split('\n')) {
		const problem = reader.readLine(
			line.endsWith('\r') ? line.slice(0, -1) : line,
		);
		if (problem !== undefined) {
			return {problem: `an event has ${problem}`};
		}
	}

	const {id, hasData} = reader;
	if (id === undefined || !hasData) {
		return {problem: `an event has no ${hasData ? 'id' : 'data'}`};
	}

	return {event: {id, bytes}};
}

/**
 * Creates a decoder at the start of a response. The ids of its events follow each other without gaps.
 * @param extraFields - names of fields that targets add to events
 */
export function createEventDecoder(
	extraFields: ReadonlySet<string>,
): EventDecoder {
	let lastId: number | undefined;
	return {
		get lastId() {
			return lastId;
		},
		decode(bytes) {
			const decoded = decodeEvent(bytes, extraFields);
			if (!decoded.event) {
				return decoded;
			}

			const {id} = decoded.event;
			if (lastId !== undefined && id !== lastId + 1) {
				return {problem: `event ${id} follows event ${lastId}`};
			}

			lastId = id;
			return decoded;
		},
	};
}
