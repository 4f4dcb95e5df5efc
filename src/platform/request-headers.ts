import type {
	CallerRequest,
	GenerationParameters,
	HeaderPair,
	PromptPart,
	SendOptions,
} from '../common/index.js';
import {headerNames, unforwardedHeaders} from './wire-names.js';

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const connectionHeaders: ReadonlySet<string> = new Set([
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

/** Headers by name in lower case, each with its last value. */
export type HeaderIndex = ReadonlyMap<string, string>;

/** Indexes headers by name. */
export function indexHeaders(pairs: readonly HeaderPair[]): HeaderIndex {
	return new Map(pairs.map(([name, value]) => [name.toLowerCase(), value]));
}

/** Leaves out the headers that concern one connection, and those that `Connection` names. */
export function endToEndHeaders(pairs: readonly HeaderPair[]): HeaderPair[] {
	const named = new Set(
		pairs
			.filter(([name]) => name.toLowerCase() === 'connection')
			.flatMap(([, value]) => value.split(','))
			.map((name) => name.trim().toLowerCase()),
	);
	return pairs.filter(([name]) => {
		const lower = name.toLowerCase();
		return !connectionHeaders.has(lower) && !named.has(lower);
	});
}

function decodeParts(text: string | undefined): PromptPart[] {
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
		promptParts: decodeParts(
			headers.get(headerNames.promptParts.toLowerCase()),
		),
		lengthHintTokens: hint > 0 ? hint : undefined,
	};
}

/** What a server has read of a request. */
export type RawRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly HeaderPair[];
	readonly body: Uint8Array | undefined;
};

/** Decodes a caller's request. Headers that this system sets towards targets are left out. */
export function decodeRequest(read: RawRequest): CallerRequest {
	const index = indexHeaders(read.headers);
	const timeoutText = index.get(headerNames.timeoutMs.toLowerCase());
	const timeoutMs = Number(timeoutText);
	return {
		id: index.get(headerNames.requestId.toLowerCase()) ?? '',
		method: read.method,
		path: read.path,
		host: (index.get('host') ?? '').toLowerCase(),
		headers: endToEndHeaders(read.headers).filter(([name]) => {
			const lower = name.toLowerCase();
			return !unforwardedHeaders.has(lower) && lower !== 'content-length';
		}),
		body: read.body,
		timeoutMs:
			timeoutText !== undefined && Number.isFinite(timeoutMs) && timeoutMs >= 0
				? timeoutMs
				: undefined,
		apiKey: index.get(headerNames.apiKey.toLowerCase()),
		generation: decodeGeneration(index),
		lastEventId: index.get(headerNames.lastEventId.toLowerCase()),
	};
}

/** Headers of a request towards a target, as a flat list of names and values. */
export function encodeRequestHeaders(
	request: CallerRequest,
	orders: SendOptions,
): string[] {
	const flat = request.headers.flat();
	const add = (name: string, value: string | number | undefined) => {
		if (value !== undefined) {
			flat.push(name, String(value));
		}
	};

	add(headerNames.expectedTarget, orders.expectedTargetId);
	add(headerNames.account, orders.account);
	add(
		headerNames.timeoutMs,
		orders.timeoutMs === undefined
			? undefined
			: Math.max(1, Math.floor(orders.timeoutMs)),
	);
	add(headerNames.priority, orders.priority);
	add(headerNames.backup, orders.backupAddress);
	add(headerNames.lastEventId, orders.lastEventId);
	if (orders.continueFrom) {
		const {address, handle} = orders.continueFrom;
		add(headerNames.continueFrom, `${address}/${handle}`);
	}

	return flat;
}
