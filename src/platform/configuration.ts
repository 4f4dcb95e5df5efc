import * as z from 'zod';
import {
	type DeploymentConfiguration,
	type RouteKind,
	type RouteRule,
	type ServiceRule,
} from '../common/index.js';
import {decode, parseJson} from './decode.js';

const routeSchema = z.object({
	name: z.string(),
	hostname: z.string(),
	prefix: z.string(),
	kind: z.string(),
	timeout_ms: z.number().positive(),
	target_latency_ms: z.number().positive(),
	target_gap_ms: z.number().positive().optional(),
	priority: z.number(),
	max_attempts: z.number(),
	allow_anonymous: z.boolean().optional(),
	sticky: z.boolean().optional(),
	resumable: z.boolean().optional(),
	service: z.string().optional(),
	allowed_regions: z.array(z.string()).optional(),
	traffic_split: z
		.array(z.object({service: z.string(), weight: z.number().nonnegative()}))
		.optional(),
});

const serviceSchema = z.object({
	name: z.string(),
	health_path: z.string().optional(),
	max_conns: z.number().positive().optional(),
	cold_s: z.number().nonnegative().optional(),
	cold_per_s: z.number().nonnegative().optional(),
});

/** Schema of the configuration except for its routes, which are validated one by one. */
const versionSchema = z.object({version: z.number()});
const configurationSchema = z.object({
	version: z.number(),
	routes: z.array(z.unknown()),
	services: z.array(serviceSchema),
	tenants: z
		.array(
			z.object({
				name: z.string(),
				api_keys: z.array(z.string()),
				priority: z.number().optional(),
				allowed_regions: z.array(z.string()).optional(),
			}),
		)
		.optional(),
	limits: z.object({
		max_header_bytes: z.number().positive(),
		max_body_bytes: z.number().positive(),
		header_timeout_ms: z.number().positive(),
		idle_timeout_ms: z.number().positive(),
	}),
});

const kinds: Readonly<Record<string, RouteKind>> = {
	idempotent: 'idempotent',
	non_idempotent: 'non-idempotent',
	stream: 'stream',
};

function decodeRoute(route: z.infer<typeof routeSchema>): RouteRule {
	const shares =
		route.traffic_split ??
		(route.service === undefined ? [] : [{service: route.service, weight: 1}]);
	return {
		name: route.name,
		host: route.hostname.toLowerCase(),
		pathPrefix: route.prefix,
		// Requests of an unknown kind must not be sent twice.
		kind: kinds[route.kind] ?? 'non-idempotent',
		timeoutMs: route.timeout_ms,
		objectiveMs: route.target_latency_ms,
		maxEventGapMs: route.target_gap_ms,
		maxAttempts: Math.max(1, route.max_attempts),
		priority: route.priority,
		anonymous: route.allow_anonymous ?? false,
		resumable: route.resumable ?? false,
		// All streams of the platform are generations.
		generation: route.kind === 'stream',
		shares,
		allowedRegions: route.allowed_regions ?? [],
	};
}

const millisecondsPerSecond = 1000;
const label = 'the configuration';
const problemType = 'invalid-configuration';
/** Number of routes decoded per slice; small enough that streams served meanwhile do not stall. */
const routesPerSlice = 40;

/**
 * Reads the operator's version from a configuration, before the rest is decoded.
 * @throws ProblemError `invalid-configuration` if the text is not JSON or has no version
 */
export function readConfigurationVersion(text: string): number {
	const value = parseJson(text, label, problemType);
	return decode(versionSchema, value, label, problemType).version;
}

/**
 * Decodes a version of the operator's configuration in slices, between which the caller can return to
 * the event loop. Decoding a thousand routes without a pause would block a small VM for longer than the
 * gap allowed between the events of its streams.
 * @yields after each slice
 * @returns the configuration, or undefined if its version is not newer than `knownVersion`
 * @throws ProblemError `invalid-configuration` whose `field` is the first invalid field, if the text is JSON
 */
export function* decodeConfigurationInSlices(
	text: string,
	knownVersion: number,
): Generator<void, DeploymentConfiguration | undefined> {
	const value = parseJson(text, label, problemType);
	yield;
	const raw = decode(configurationSchema, value, label, problemType);
	if (raw.version <= knownVersion) {
		return undefined;
	}

	const routes: RouteRule[] = [];
	for (const [index, route] of raw.routes.entries()) {
		const part = {label, path: ['routes', index]};
		routes.push(decodeRoute(decode(routeSchema, route, part, problemType)));
		if (index % routesPerSlice === routesPerSlice - 1) {
			yield;
		}
	}

	return buildConfiguration(raw, routes);
}

/**
 * Decodes a version of the operator's configuration at once.
 * @throws ProblemError `invalid-configuration` whose `field` is the first invalid field, if the text is JSON
 */
export function decodeConfiguration(text: string): DeploymentConfiguration {
	const slices = decodeConfigurationInSlices(text, -Infinity);
	for (;;) {
		const {done, value} = slices.next();
		if (done && value) {
			return value;
		}
	}
}

function buildConfiguration(
	raw: z.infer<typeof configurationSchema>,
	routes: readonly RouteRule[],
): DeploymentConfiguration {
	const services = raw.services.map((service): ServiceRule => ({
		name: service.name,
		maxConnections: service.max_conns,
		coldMs: (service.cold_s ?? 0) * millisecondsPerSecond,
		coldRequestsPerSecond: service.cold_per_s ?? 0,
	}));
	return {
		version: raw.version,
		routes,
		services: new Map(services.map((service) => [service.name, service])),
		accounts: raw.tenants?.map((account) => ({
			name: account.name,
			apiKeys: account.api_keys,
			priority: account.priority,
			allowedRegions: account.allowed_regions ?? [],
		})),
		limits: {
			maxHeaderBytes: raw.limits.max_header_bytes,
			maxBodyBytes: raw.limits.max_body_bytes,
			headerTimeoutMs: raw.limits.header_timeout_ms,
			idleTimeoutMs: raw.limits.idle_timeout_ms,
		},
	};
}
