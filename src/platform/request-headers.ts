import type {
	CallerRequest,
	GenerationParameters,
	HeaderPair,
	PromptPart,
	SendOptions,
} from '../common/index.js';
import {headerNames, unforwardedHeaders} from './wire-names.js';

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

/** Headers by name in lower case; of several with one name, the last value. */
export type HeaderIndex = ReadonlyMap<string, string>;

export function indexHeaders(pairs: readonly HeaderPair[]): HeaderIndex {
	return new Map(pairs.map(([name, value]) => [name.toLowerCase(), value]));
}

/** Removes the hop-by-hop headers and those that the `Connection` header names. */
export function endToEndHeaders(pairs: readonly HeaderPair[]): HeaderPair[] {
	const connectionOptions = new Set(
		pairs
			.filter(([name]) => name.toLowerCase() === 'connection')
			.flatMap(([, value]) => value.split(','))
			.map((name) => name.trim().toLowerCase()),
	);
	return pairs.filter(([name]) => {
		const lower = name.toLowerCase();
		return !hopByHopHeaders.has(lower) && !connectionOptions.has(lower);
	});
}

function decodePromptParts(text: string | undefined): PromptPart[] {
	return (text ?? '').split(',').flatMap((part) => {
		const [id, tokens] = part.trim().split(':');
		const count = Number(tokens);
		return id && Number.isFinite(count) ? [{id, tokens: count}] : [];
	});
}

function decodeGeneration(
	headers: HeaderIndex,
): GenerationParameters | undefined {
	const model = headers.get(headerNames.model.toLowerCase());
	const counts = headers.get(headerNames.tokenCounts.toLowerCase());
	if (model === undefined || counts === undefined) {
		return undefined;
	}

	const [promptTokens, maxOutputTokens] = counts.split(',').map(Number);
	const hint = Number(headers.get(headerNames.lengthHint.toLowerCase()));
	return {
		model,
		promptTokens: Number.isFinite(promptTokens) ? promptTokens : 0,
		maxOutputTokens: Number.isFinite(maxOutputTokens) ? maxOutputTokens : 0,
		promptParts: decodePromptParts(
			headers.get(headerNames.promptParts.toLowerCase()),
		),
		lengthHintTokens: hint > 0 ? hint : undefined,
	};
}

/** A received request before decoding. */
export type RawRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly HeaderPair[];
	readonly body: Uint8Array | undefined;
};

/** Decodes a caller's request. Headers that are not forwarded to targets are removed. */
export function decodeRequest(raw: RawRequest): CallerRequest {
	const index = indexHeaders(raw.headers);
	const timeoutText = index.get(headerNames.timeoutMs.toLowerCase());
	const timeoutMs = Number(timeoutText);
	return {
		id: index.get(headerNames.requestId.toLowerCase()) ?? '',
		method: raw.method,
		path: raw.path,
		host: (index.get('host') ?? '').toLowerCase(),
		headers: endToEndHeaders(raw.headers).filter(([name]) => {
			const lower = name.toLowerCase();
			return !unforwardedHeaders.has(lower) && lower !== 'content-length';
		}),
		body: raw.body,
		timeoutMs:
			timeoutText !== undefined && Number.isFinite(timeoutMs) && timeoutMs >= 0
				? timeoutMs
				: undefined,
		apiKey: index.get(headerNames.apiKey.toLowerCase()),
		generation: decodeGeneration(index),
		lastEventId: index.get(headerNames.lastEventId.toLowerCase()),
	};
}

/** @returns the headers of a request to a target, as a flat list of names and values */
export function encodeRequestHeaders(
	request: CallerRequest,
	options: SendOptions,
): string[] {
	const flat = request.headers.flat();
	const add = (name: string, value: string | number | undefined) => {
		if (value !== undefined) {
			flat.push(name, String(value));
		}
	};

	add(headerNames.expectedTarget, options.expectedTargetId);
	add(headerNames.account, options.account);
	add(
		headerNames.timeoutMs,
		options.timeoutMs === undefined
			? undefined
			: Math.max(1, Math.floor(options.timeoutMs)),
	);
	add(headerNames.priority, options.priority);
	add(headerNames.backup, options.backupAddress);
	add(headerNames.lastEventId, options.lastEventId);
	if (options.continueFrom) {
		const {address, handle} = options.continueFrom;
		add(headerNames.continueFrom, `${address}/${handle}`);
	}

	return flat;
}
