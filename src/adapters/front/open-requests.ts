import type {ServerResponse} from 'node:http';

/** The open requests of callers, by address, so that one address does not use up the memory for all. */
export type OpenRequests = {
	/**
	 * Counts a request until its response is complete.
	 * @returns false if the address had as many open requests as it may have; the request must then be refused
	 */
	add(address: string, response: ServerResponse): boolean;
};

/** @param maxPerAddress - open requests that one address may have */
export function createOpenRequests(maxPerAddress: number): OpenRequests {
	const counts = new Map<string, number>();

	const remove = (address: string) => {
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
			response.once('close', () => {
				remove(address);
			});
			return count <= maxPerAddress;
		},
	};
}
