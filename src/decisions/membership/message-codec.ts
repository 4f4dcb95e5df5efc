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

/**
 * Fields by position, entries grouped by scope and incarnation: names of fields would take more bytes than
 * the values.
 */
const whole = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const name = z.string().min(1).max(100);
const heartbeatSchema = z.tuple([name, whole, whole]);
const maxEntries = 500;
const maxValues = 8;
const entrySchema = z
	.tuple([z.enum(['u', 'a', 'l']), z.string().min(1).max(250), whole])
	.rest(z.number().min(0));
const maxTextLength = 50_000;
const scopeSchema = z
	.tuple([z.string().max(102), whole, z.string().max(maxTextLength)])
	.rest(entrySchema);

/** Shape of a message on the wire. */
export const packedMessageSchema = z.tuple([
	heartbeatSchema,
	whole,
	z.union([z.literal(0), z.literal(1)]),
	z.array(heartbeatSchema).max(64),
	z.array(scopeSchema).max(maxEntries),
	/** Minute from which the ages in usage texts count. */
	whole,
	z.tuple([name, name, name]).optional(),
]);

/** Message as it is sent. */
export type PackedMessage = z.infer<typeof packedMessageSchema>;

const letters: Readonly<Record<EntryKind, 'u' | 'a' | 'l'>> = {
	usage: 'u',
	activity: 'a',
	leaving: 'l',
};
const kinds: Readonly<Record<'u' | 'a' | 'l', EntryKind>> = {
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

// Part of a scope's header that one entry of several carries.
const usageHeaderBytes = 6;

/** Bytes that an entry adds to a message, its share of the scope's header included. */
export function entryBytes(entry: SharedEntry): number {
	const [minute] = entry.values;
	if (fitsUsageText(entry, minute)) {
		return usageTextLength(entry) + usageHeaderBytes;
	}

	let bytes = entry.key.length + String(entry.counter).length + 10;
	for (const value of entry.values) {
		bytes += String(value).length + 1;
	}

	return bytes;
}

function packIntroduction(
	introduction: MemberAddress | undefined,
): [] | [[string, string, string]] {
	if (!introduction) {
		return [];
	}

	const {address, availabilityZone, region} = introduction;
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

/** Packs a message for the wire. */
export function packMessage(message: MembershipMessage): PackedMessage {
	const scopes = new Map<string, PackedMessage[4][number]>();
	const minute = newestMinute(message.entries);
	for (const entry of message.entries) {
		const id = `${entry.incarnation} ${entry.scope}`;
		let scope = scopes.get(id);
		if (!scope) {
			scope = [entry.scope, entry.incarnation, ''];
			scopes.set(id, scope);
		}

		if (fitsUsageText(entry, minute)) {
			scope[2] += writeUsageText(entry, minute);
			continue;
		}

		scope.push([
			letters[entry.kind],
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
		minute,
		...packIntroduction(message.senderAddress),
	];
}

/**
 * Checks and unpacks what a peer sent.
 * @throws ProblemError `peer-protocol` naming the part that is malformed
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
		minute,
		address,
	] = result.data;
	const entries: SharedEntry[] = [];
	const add = (entry: SharedEntry) => {
		if (entry.values.length > maxValues || entries.length >= maxEntries) {
			throw new ProblemError(
				'peer-protocol',
				`a membership message allows ${maxEntries} entries of ${maxValues} values`,
				{field: entry.key},
			);
		}

		entries.push(entry);
	};

	for (const [scope, incarnation, text, ...packedEntries] of scopes) {
		const usage = readUsageText(text, minute);
		if (!usage) {
			throw new ProblemError(
				'peer-protocol',
				'membership message is malformed: usage text is not a row of entries',
				{field: scope},
			);
		}

		for (const entry of usage) {
			add({...entry, scope, incarnation, kind: 'usage'});
		}

		for (const [letter, key, counter, ...values] of packedEntries) {
			add({scope, kind: kinds[letter], key, incarnation, counter, values});
		}
	}

	return {
		from: unpackHeartbeat(from),
		configurationVersion,
		stopping: stopping === 1,
		heartbeats: heartbeats.map((one) => unpackHeartbeat(one)),
		entries,
		senderAddress: address && {
			name: from[0],
			address: address[0],
			availabilityZone: address[1],
			region: address[2],
		},
	};
}
