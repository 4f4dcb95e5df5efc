import {Buffer} from 'node:buffer';
import * as fc from 'fast-check';
import {ProblemError} from '../../common/index.js';
import {decodeFleetMessage} from '../../decisions/fleet/index.js';
import {
	createEventSplitter,
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

/** A decoder, and input that it is to survive. */
export type DecoderProperty = {
	readonly name: string;
	readonly property: fc.IProperty<[unknown]>;
};

/** True for what a decoder may throw. */
const isTyped = (error: unknown) => error instanceof ProblemError;

function survives<T>(
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
				return isTyped(error);
			}

			return true;
		}),
	};
}

/** JSON text that is well-formed, cut, or of another form. */
const jsonText = fc.oneof(
	fc.json(),
	fc.string(),
	fc
		.tuple(fc.json(), fc.nat(40))
		.map(([text, cut]) => text.slice(0, Math.max(0, text.length - cut))),
);

/** A sound object with one field replaced by something else. */
const damaged = (sound: Readonly<Record<string, unknown>>) =>
	fc
		.tuple(fc.constantFrom(...Object.keys(sound)), fc.jsonValue())
		.map(([field, value]) => JSON.stringify({...sound, [field]: value}));

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

/** Properties of all decoders of what comes from outside. */
export const decoderProperties: readonly DecoderProperty[] = [
	survives(
		'boot file',
		fc.oneof(jsonText, damaged(bootFile())),
		decodeBootFile,
	),
	survives(
		'configuration',
		fc.oneof(jsonText, damaged(configuration)),
		decodeConfiguration,
	),
	survives('target entry', jsonText, (text) => decodeTargetEntry('t', text)),
	survives('message between VMs', fc.jsonValue(), decodeFleetMessage),
	survives('relayed rows', fc.jsonValue(), decodeRelayedRows),
	survives('relayed tables', fc.jsonValue(), decodeRelayedTables),
	survives('request head', headerPairs, (headers) =>
		decodeRequest({method: 'GET', path: '/', headers, body: undefined}),
	),
	survives('answer head', headerPairs, (headers) =>
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
				const taken = Buffer.concat(events.map(({bytes}) => bytes));
				return (
					taken.equals(all.subarray(0, taken.length)) &&
					taken.length + splitter.pendingBytes === all.length
				);
			},
		),
	},
];
