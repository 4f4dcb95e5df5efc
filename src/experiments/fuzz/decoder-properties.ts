import {Buffer} from 'node:buffer';
import * as fc from 'fast-check';
import {ProblemError} from '../../common/index.js';
import {decodeFleetMessage} from '../../decisions/fleet/index.js';
import {
	createEventSplitter,
	decodeRelayedEvacuations,
	decodeRelayedRows,
	decodeRelayedTables,
} from '../../decisions/serving/index.js';
import {decodeBootFile} from '../../platform/boot-file.js';
import {
	decodeConfiguration,
	decodeRequest,
	decodeTargetEntry,
} from '../../platform/index.js';
import {decodeResponseHead} from '../../platform/response-head.js';
import {bootFile, configurationRow} from '../../platform/testing/index.js';

/** A property that a decoder must have for all generated input. */
export type DecoderProperty = {
	readonly name: string;
	readonly property: fc.IProperty<[unknown]>;
};

/** True for the only kind of error that a decoder may throw. */
const isExpectedError = (error: unknown) => error instanceof ProblemError;

/** Creates the property that a decoder returns or throws a `ProblemError`, and nothing else. */
function toleratesInput<T>(
	name: string,
	input: fc.Arbitrary<T>,
	decode: (value: T) => unknown,
): DecoderProperty {
	return {
		name,
		property: fc.property(input, (value) => {
			try {
				decode(value);
			} catch (error) {
				return isExpectedError(error);
			}

			return true;
		}),
	};
}

/** JSON text that is well-formed or truncated, and text that is not JSON. */
const jsonText = fc.oneof(
	fc.json(),
	fc.string(),
	fc
		.tuple(fc.json(), fc.nat(40))
		.map(([text, cut]) => text.slice(0, Math.max(0, text.length - cut))),
);

/** A valid object, as JSON text, with one field replaced by an arbitrary value. */
const withFieldReplaced = (valid: Readonly<Record<string, unknown>>) =>
	fc
		.tuple(fc.constantFrom(...Object.keys(valid)), fc.jsonValue())
		.map(([field, value]) => JSON.stringify({...valid, [field]: value}));

const headerPairs = fc.array(fc.tuple(fc.string(), fc.string()), {
	maxLength: 12,
});

const configuration = configurationRow({
	version: 3,
	host: 'a.example',
	routes: [{name: 'r', prefix: '/r/', kind: 'stream', service: 's'}],
	account: 'x',
	apiKeys: ['k'],
});

/** Properties of all decoders of external input. */
export const decoderProperties: readonly DecoderProperty[] = [
	toleratesInput(
		'boot file',
		fc.oneof(jsonText, withFieldReplaced(bootFile())),
		decodeBootFile,
	),
	toleratesInput(
		'configuration',
		fc.oneof(jsonText, withFieldReplaced(configuration)),
		decodeConfiguration,
	),
	toleratesInput('target entry', jsonText, (text) =>
		decodeTargetEntry('t', text),
	),
	toleratesInput('message between VMs', fc.jsonValue(), decodeFleetMessage),
	toleratesInput(
		'relayed evacuations',
		fc.jsonValue(),
		decodeRelayedEvacuations,
	),
	toleratesInput('relayed rows', fc.jsonValue(), decodeRelayedRows),
	toleratesInput('relayed tables', fc.jsonValue(), decodeRelayedTables),
	toleratesInput('request head', headerPairs, (headers) =>
		decodeRequest({method: 'GET', path: '/', headers, body: undefined}),
	),
	toleratesInput('response head', headerPairs, (headers) =>
		decodeResponseHead(200, headers),
	),
	{
		name: 'events',
		property: fc.property(
			fc.array(fc.uint8Array({maxLength: 60}), {maxLength: 20}),
			(chunks) => {
				const splitter = createEventSplitter();
				const events = chunks.flatMap((chunk) => [...splitter.push(chunk)]);
				const all = Buffer.concat(chunks);
				const decoded = Buffer.concat(events);
				return (
					decoded.equals(all.subarray(0, decoded.length)) &&
					decoded.length + splitter.pendingBytes === all.length
				);
			},
		),
	},
];
