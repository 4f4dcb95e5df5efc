/** Errors of a socket whose peer is not heard any more; the peer may not have noticed the end of the connection. */
const timeoutCodes: ReadonlySet<string | undefined> = new Set([
	'EHOSTUNREACH',
	'ENETUNREACH',
	'ETIMEDOUT',
]);

/** @returns true if a connection ended since nothing arrived on it any more */
export function hasTimedOut(error: Error): boolean {
	return timeoutCodes.has((error as NodeJS.ErrnoException).code);
}
