import {ProblemError} from '../../common/index.js';

/**
 * Parses the entity tag of an engine's stream, which is `EngineStream.connectionCount` in quotes.
 * @returns undefined if the engine sent none or another kind of entity tag
 */
export function parseConnectionCount(
	etag: string | string[] | undefined,
): number | undefined {
	const match = typeof etag === 'string' ? /^"(\d{1,9})"$/.exec(etag) : null;
	return match ? Number(match[1]) : undefined;
}

/**
 * Problem for a stream that an engine refused to open.
 * @param text - beginning of the response body
 */
export function problemForStatus(
	targetId: string,
	status: number,
	text: string,
): ProblemError {
	const isLeaving = status === 503 && text.includes('"leaving"');
	return new ProblemError(
		status === 404 ? 'stream-unknown' : 'target-unavailable',
		`target "${targetId}" responded with status ${status}`,
		{details: {leaving: isLeaving}},
	);
}
