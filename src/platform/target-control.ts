import type {Dispatcher} from 'undici';
import * as z from 'zod';
import {
	type CopyOrder,
	type CopyResult,
	type EngineReport,
	ProblemError,
	type TargetEntry,
	type TargetLiveness,
} from '../common/index.js';
import {decode, parseJson} from './decode.js';
import {makeHttpCall} from './http-call.js';
import {decodeCold} from './response-head.js';
import {headerNames, targetPaths} from './wire-names.js';

const releaseTimeoutMs = 1000;
/** Size limit of responses to control calls. A load report lists every run of its engine; the largest is far smaller. */
export const maxControlResponseBytes = 1_048_576;

/** Id of the request, tokens in memory, events made; the priority that follows is not read. */
const runSchema = z
	.tuple([z.string(), z.number(), z.number()])
	.rest(z.unknown());

/** A list that can't be read counts as none, since the rest of the report stands by itself. */
const runsSchema = z
	.union([z.array(runSchema), z.unknown().transform(() => undefined)])
	.optional();

const reportSchema = z.object({
	queued: z.number(),
	running: z.number(),
	kv_used: z.number(),
	kv_total: z.number(),
	state: z.string().optional(),
	leaves_ms: z.number().nullish(),
	born: z.number().nullish(),
	runs: runsSchema,
});

/** An unreadable value counts as none, since the target's row states the time too. */
function statedColdMs(value: string[] | string | undefined): number {
	const cold = decodeCold(typeof value === 'string' ? value : undefined);
	return cold.state === 'stated' ? cold.coldMs : 0;
}

const copyResponseSchema = z.object({handle: z.string()});

function decodeCopyResult(
	address: string,
	status: number,
	text: string,
): CopyResult {
	switch (status) {
		case 200: {
			const label = 'the response to a KV cache copy';
			const problemType = 'target-protocol';
			const value = parseJson(text, label, problemType);
			const {handle} = decode(copyResponseSchema, value, label, problemType);
			return {outcome: 'copied', copy: {address, handle}};
		}

		case 404: {
			return {outcome: 'unknown-run'};
		}

		case 409: {
			return {outcome: 'busy'};
		}

		case 503: {
			return {outcome: 'refused'};
		}

		default: {
			return {outcome: 'failed', reason: `status ${status}`};
		}
	}
}

/**
 * Orders a copy of the KV cache of a run; a failed call is a result too.
 * @param engine - connections to the engine that executes the run
 */
export async function copyKvCache(
	engine: Dispatcher,
	{address, requestId, toAddress}: CopyOrder,
	timeoutMs: number,
): Promise<CopyResult> {
	const body = JSON.stringify({id: requestId, to: toAddress, last: false});
	try {
		const {status, text} = await makeHttpCall(engine, {
			method: 'POST',
			path: targetPaths.copyKvCache,
			body,
			timeoutMs,
			maxResponseBytes: maxControlResponseBytes,
		});
		return decodeCopyResult(address, status, text);
	} catch (error) {
		return {outcome: 'failed', reason: (error as Error).message};
	}
}

/** Frees a copy at an engine, without waiting for its response. */
export function releaseCopy(engine: Dispatcher, handle: string): void {
	makeHttpCall(engine, {
		method: 'DELETE',
		path: `${targetPaths.releaseCopy}/${handle}`,
		timeoutMs: releaseTimeoutMs,
		maxResponseBytes: maxControlResponseBytes,
	}).catch(() => {
		// The engine frees an unused copy by itself after some seconds.
	});
}

/**
 * Requests the load report of an engine.
 * @throws ProblemError `target-protocol` if the response is no load report; Error if the call fails
 */
export async function readReport(
	engine: Dispatcher,
	timeoutMs: number,
): Promise<EngineReport> {
	const {status, headers, text} = await makeHttpCall(engine, {
		method: 'GET',
		path: targetPaths.report,
		timeoutMs,
		maxResponseBytes: maxControlResponseBytes,
	});
	const problemType = 'target-protocol';
	const label = 'the load report of an engine';
	if (status !== 200) {
		throw new ProblemError(
			problemType,
			`the request for ${label} failed with status ${status} instead of 200`,
		);
	}

	const raw = decode(
		reportSchema,
		parseJson(text, label, problemType),
		label,
		problemType,
	);
	return {
		queuedCount: raw.queued,
		runningCount: raw.running,
		usedTokens: raw.kv_used,
		capacityTokens: raw.kv_total,
		coldMs: statedColdMs(headers[headerNames.coldMs.toLowerCase()]),
		leaving: raw.state === 'draining' || typeof raw.leaves_ms === 'number',
		bornMs: raw.born ?? undefined,
		runs: raw.runs?.map(([requestId, , eventCount]) => ({
			requestId,
			eventCount,
		})),
	};
}

/** Finds out whether an engine has ended since it registered; never rejects. */
export async function checkLiveness(
	engine: Dispatcher,
	{bornMs}: TargetEntry,
	timeoutMs: number,
): Promise<TargetLiveness> {
	try {
		const report = await readReport(engine, timeoutMs);
		const isOther =
			bornMs !== undefined &&
			report.bornMs !== undefined &&
			report.bornMs !== bornMs;
		return isOther ? 'ended' : 'alive';
	} catch (error) {
		const {code} = error as NodeJS.ErrnoException;
		return code === 'ECONNREFUSED' ? 'ended' : 'unknown';
	}
}
