import * as z from 'zod';
import type {LoadShare} from './target-load.js';

/** What a VM tells its peers of its load. */
export type LoadDigest = {
	/** Tells two lives of a VM apart. */
	readonly instanceId: string;
	readonly sequence: number;
	readonly availabilityZone: string;
	/** Version of the configuration in force there; 0 if none is. */
	readonly configurationVersion: number;
	/** True if the VM reads the table of the targets now. */
	readonly readsStore: boolean;
	readonly shares: ReadonlyMap<string, LoadShare>;
};

const digestSchema = z.object({
	i: z.string(),
	s: z.number(),
	z: z.string(),
	c: z.number(),
	r: z.boolean(),
	t: z.array(
		z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()]),
	),
});

/** Encodes a digest for a datagram. */
export function encodeDigest(digest: LoadDigest): string {
	return JSON.stringify({
		i: digest.instanceId,
		s: digest.sequence,
		z: digest.availabilityZone,
		c: digest.configurationVersion,
		r: digest.readsStore,
		t: [...digest.shares].map(([id, share]) => [
			id,
			share.openCount,
			Math.round(share.memoryTokens),
			Math.round(share.pendingPromptTokens),
			Math.round(share.growthTokens),
		]),
	});
}

/** @returns undefined if the value is not a digest */
export function decodeDigest(value: unknown): LoadDigest | undefined {
	const {success, data} = digestSchema.safeParse(value);
	if (!success) {
		return undefined;
	}

	return {
		instanceId: data.i,
		sequence: data.s,
		availabilityZone: data.z,
		configurationVersion: data.c,
		readsStore: data.r,
		shares: new Map(
			data.t.map(([id, openCount, memory, pending, growth]) => [
				id,
				{
					openCount,
					memoryTokens: memory,
					pendingPromptTokens: pending,
					growthTokens: growth,
				},
			]),
		),
	};
}
