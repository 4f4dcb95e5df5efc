/** Shares of the heap for what callers make a VM hold. */
export type HeapShares = {
	/** Open requests of callers whose objects fit. */
	readonly requestCount: number;
	/** Connections of callers whose objects fit. */
	readonly connectionCount: number;
};

/** Heap of the program itself: its code, tables and connections to targets, in bytes. */
const ownBytes = 25_165_824;
const requestFraction = 0.5;
const connectionFraction = 0.35;
/** Heap of the objects of an open request and its session, in bytes. */
const requestBytes = 32_768;
/** Heap of the socket, the parser and the bounds of a connection, in bytes. */
const connectionBytes = 10_240;
/** Fraction of the heap that is divided where the program itself takes up nearly all of it. */
const minSpareFraction = 0.1;

/** Divides a heap; what is left over is for garbage that has not been collected. */
export function heapSharesOf(heapLimitBytes: number): HeapShares {
	const spareBytes = Math.max(
		heapLimitBytes - ownBytes,
		heapLimitBytes * minSpareFraction,
	);
	return {
		requestCount: Math.floor((spareBytes * requestFraction) / requestBytes),
		connectionCount: Math.floor(
			(spareBytes * connectionFraction) / connectionBytes,
		),
	};
}
