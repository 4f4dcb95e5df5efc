import * as z from 'zod';
import {ProblemError, toProblem} from '../../common/index.js';
import type {
	EntryKind,
	Heartbeat,
	MemberAddress,
	MembershipMessage,
	SharedEntry,
} from './types.js';
import {
	fitsUsageText,
	readUsageText,
	usageTextLength,
	writeUsageText,
} from './usage-text.js';

// Messages are tuples rather than objects, since field names would take more bytes than the values. For the same
// reason entries are grouped by scope and incarnation.
const nonNegativeInteger = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const shortText = z.string().min(1).max(100);
const heartbeatSchema = z.tuple([
	shortText,
	nonNegativeInteger,
	nonNegativeInteger,
]);
const maxEntries = 500;
const maxValues = 8;
const entrySchema = z
	.tuple([
		z.enum(['u', 'a', 'l']),
		z.string().min(1).max(250),
		nonNegativeInteger,
	])
	.rest(z.number().min(0));
const maxTextLength = 50_000;
const scopeSchema = z
	.tuple([
		z.string().max(102),
		nonNegativeInteger,
		z.string().max(maxTextLength),
	])
	.rest(entrySchema);

/** Schema of a message on the wire. */
export const packedMessageSchema = z.tuple([
	heartbeatSchema,
	nonNegativeInteger,
	z.union([z.literal(0), z.literal(1)]),
	z.array(heartbeatSchema).max(64),
	z.array(scopeSchema).max(maxEntries),
	/** Minute relative to which usage texts give the age of their entries. */
	nonNegativeInteger,
	z.tuple([shortText, shortText, shortText]).optional(),
]);

/** Message in its wire format. */
export type PackedMessage = z.infer<typeof packedMessageSchema>;

const letterByKind: Readonly<Record<EntryKind, 'u' | 'a' | 'l'>> = {
	usage: 'u',
	activity: 'a',
	leaving: 'l',
};
const kindByLetter: Readonly<Record<'u' | 'a' | 'l', EntryKind>> = {
	u: 'usage',
	a: 'activity',
	l: 'leaving',
};

const packHeartbeat = (one: Heartbeat): [string, number, number] => [
	one.name,
	one.incarnation,
	one.counter,
];
const unpackHeartbeat = (packed: [string, number, number]): Heartbeat => ({
	name: packed[0],
	incarnation: packed[1],
	counter: packed[2],
});

// Bytes of a scope's header that are attributed to each of its usage entries.
const usageHeaderBytes = 6;

/** Estimated bytes that an entry adds to a message, including its part of the scope's header. */
export function entryBytes(entry: SharedEntry): number {
	const [baseMinute] = entry.values;
	if (fitsUsageText(entry, baseMinute)) {
		return usageTextLength(entry) + usageHeaderBytes;
	}

	let bytes = entry.key.length + String(entry.counter).length + 10;
	for (const value of entry.values) {
		bytes += String(value).length + 1;
	}

	return bytes;
}

function packSenderAddress(
	senderAddress: MemberAddress | undefined,
): [] | [[string, string, string]] {
	if (!senderAddress) {
		return [];
	}

	const {address, availabilityZone, region} = senderAddress;
	return [[address, availabilityZone, region]];
}

function newestMinute(entries: readonly SharedEntry[]): number {
	let newest = 0;
	for (const {kind, values} of entries) {
		if (kind === 'usage' && Number.isSafeInteger(values[0])) {
			newest = Math.max(newest, values[0]);
		}
	}

	return newest;
}

/** Encodes a message for the wire. */
export function packMessage(message: MembershipMessage): PackedMessage {
	const scopes = new Map<string, PackedMessage[4][number]>();
	const baseMinute = newestMinute(message.entries);
	for (const entry of message.entries) {
		const id = `${entry.incarnation} ${entry.scope}`;
		let scope = scopes.get(id);
		if (!scope) {
			scope = [entry.scope, entry.incarnation, ''];
			scopes.set(id, scope);
		}

		if (fitsUsageText(entry, baseMinute)) {
			scope[2] += writeUsageText(entry, baseMinute);
			continue;
		}

		scope.push([
			letterByKind[entry.kind],
			entry.key,
			entry.counter,
			...entry.values,
		]);
	}

	return [
		packHeartbeat(message.from),
		message.configurationVersion,
		message.stopping ? 1 : 0,
		message.heartbeats.map((one) => packHeartbeat(one)),
		[...scopes.values()],
		baseMinute,
		...packSenderAddress(message.senderAddress),
	];
}

/**
 * Validates and decodes a message of a peer.
 * @throws ProblemError `peer-protocol` naming the malformed field
 */
export function unpackMessage(packed: unknown): MembershipMessage {
	const result = packedMessageSchema.safeParse(packed);
	if (!result.success) {
		const [issue] = result.error.issues;
		throw new ProblemError(
			'peer-protocol',
			`membership message is malformed: ${issue.message}`,
			{field: issue.path.join('.'), cause: toProblem(result.error)},
		);
	}

	const [
		from,
		configurationVersion,
		stopping,
		heartbeats,
		scopes,
		baseMinute,
		senderAddress,
	] = result.data;
	const entries: SharedEntry[] = [];
	const addEntry = (entry: SharedEntry) => {
		if (entry.values.length > maxValues || entries.length >= maxEntries) {
			throw new ProblemError(
				'peer-protocol',
				`a membership message allows at most ${maxEntries} entries with at most ${maxValues} values each`,
				{field: entry.key},
			);
		}

		entries.push(entry);
	};

	for (const [scope, incarnation, text, ...packedEntries] of scopes) {
		const usage = readUsageText(text, baseMinute);
		if (!usage) {
			throw new ProblemError(
				'peer-protocol',
				'membership message is malformed: usage text cannot be split into entries',
				{field: scope},
			);
		}

		for (const entry of usage) {
			addEntry({...entry, scope, incarnation, kind: 'usage'});
		}

		for (const [letter, key, counter, ...values] of packedEntries) {
			addEntry({
				scope,
				kind: kindByLetter[letter],
				key,
				incarnation,
				counter,
				values,
			});
		}
	}

	return {
		from: unpackHeartbeat(from),
		configurationVersion,
		stopping: stopping === 1,
		heartbeats: heartbeats.map((one) => unpackHeartbeat(one)),
		entries,
		senderAddress: senderAddress && {
			name: from[0],
			address: senderAddress[0],
			availabilityZone: senderAddress[1],
			region: senderAddress[2],
		},
	};
}
