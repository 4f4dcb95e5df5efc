import {ProblemError} from '../../common/index.js';

/**
 * Reads the link count from an entity tag.
 * @returns undefined if the engine did not send one
 */
export function parseConnectionCount(
	etag: string | string[] | undefined,
): number | undefined {
	const match = typeof etag === 'string' ? /^"(\d{1,9})"$/.exec(etag) : null;
	return match ? Number(match[1]) : undefined;
}

/**
 * Problem of a link that an engine refused.
 * @param text - beginning of the answer's body
 */
export function problemForStatus(
	targetId: string,
	status: number,
	text: string,
): ProblemError {
	const isLeaving = status === 503 && text.includes('"leaving"');
	return new ProblemError(
		status === 404 ? 'stream-unknown' : 'target-unavailable',
		`target "${targetId}" answered status ${status}`,
		{details: {leaving: isLeaving}},
	);
}
