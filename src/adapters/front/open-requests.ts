import type {ServerResponse} from 'node:http';

/** Numbers of requests that may be open at a time. */
export type OpenRequestLimits = {
	/** Requests of all callers. */
	readonly max: number;
	/** Requests of one address, so that it does not use up those of all. */
	readonly maxPerAddress: number;
};

/** The open requests of callers, by address. */
export type OpenRequests = {
	/**
	 * Counts a request until its response is complete.
	 * @returns false if as many were open as may be; the request must then be refused
	 */
	add(address: string, response: ServerResponse): boolean;
};

/** Creates counts without requests. */
export function createOpenRequests(limits: OpenRequestLimits): OpenRequests {
	const counts = new Map<string, number>();
	let total = 0;

	const remove = (address: string) => {
		total--;
		const count = (counts.get(address) ?? 0) - 1;
		if (count > 0) {
			counts.set(address, count);
		} else {
			counts.delete(address);
		}
	};

	return {
		add(address, response) {
			const count = (counts.get(address) ?? 0) + 1;
			counts.set(address, count);
			total++;
			response.once('close', () => {
				remove(address);
			});
			return total <= limits.max && count <= limits.maxPerAddress;
		},
	};
}
