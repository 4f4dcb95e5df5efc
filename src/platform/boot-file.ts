import * as z from 'zod';
import {isSocketAddress, type VmSettings} from '../common/index.js';
import {decode, parseJson} from './decode.js';

const address = z
	.string()
	.refine(isSocketAddress, 'not an IPv4 address and port');
const positive = z.number().positive();
const notNegative = z.number().nonnegative();
const port = z.number().int().min(1).max(65_535);
const millisecondsPerSecond = 1000;

const bootSchema = z.object({
	node: z.string().min(1),
	ip: z.string().min(1),
	zone: z.string().min(1),
	region: z.string(),
	zones: z.record(z.string(), z.string()).optional(),
	listen: z.object({front: address, ready: address}),
	port_range: z.tuple([port, port]),
	heartbeat_ms: positive,
	seed_nodes: z.array(address).optional(),
	limits: z.object({
		memory_mb: positive,
		max_fds: positive,
		cpu_share: positive.optional(),
		cores: positive.optional(),
	}),
	bounds: z.object({
		drain_ms: positive,
		grace_s: positive,
		config_apply_ms: positive,
		retry_budget_ratio: notNegative,
		retry_budget_extra: notNegative,
		budget_window_s: positive,
		reuse_after_s: notNegative,
		evacuate_ms: positive.optional(),
		cold_overage: notNegative.optional(),
		cold_slack: notNegative.optional(),
	}),
	platform: z.object({address}),
});

/**
 * Decodes the boot file of a VM. Unknown fields are ignored.
 * @param text - content of the file
 * @throws ProblemError `invalid-setting` whose `field` is the first invalid field, if the text is JSON
 */
export function decodeBootFile(text: string): VmSettings {
	const label = 'the boot file';
	const boot = decode(
		bootSchema,
		parseJson(text, label, 'invalid-setting'),
		label,
		'invalid-setting',
	);
	const {bounds} = boot;
	return {
		name: boot.node,
		availabilityZone: boot.zone,
		region: boot.region,
		// The region of the own zone is known even without the list.
		regions: new Map([
			[boot.zone, boot.region],
			...Object.entries(boot.zones ?? {}),
		]),
		callerAddress: boot.listen.front,
		readyAddress: boot.listen.ready,
		ip: boot.ip,
		peerPorts: boot.port_range,
		seedIps: (boot.seed_nodes ?? []).map((seed) => seed.split(':')[0]),
		storeAddress: boot.platform.address,
		heartbeatMs: boot.heartbeat_ms,
		limits: {
			memoryMb: boot.limits.memory_mb,
			maxDescriptors: boot.limits.max_fds,
			cpuMsPerSecond:
				(boot.limits.cpu_share ?? 1) *
				(boot.limits.cores ?? 1) *
				millisecondsPerSecond,
		},
		bounds: {
			drainMs: bounds.drain_ms,
			stopGraceMs: bounds.grace_s * millisecondsPerSecond,
			configurationApplyMs: bounds.config_apply_ms,
			retryRatio: bounds.retry_budget_ratio,
			retryExtra: bounds.retry_budget_extra,
			retryWindowMs: bounds.budget_window_s * millisecondsPerSecond,
			addressReuseMs: bounds.reuse_after_s * millisecondsPerSecond,
			evacuateMs: bounds.evacuate_ms,
			coldOverage: bounds.cold_overage,
			coldSlack: bounds.cold_slack,
		},
	};
}
