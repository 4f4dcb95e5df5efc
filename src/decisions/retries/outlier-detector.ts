import type {Clock} from '../../common/index.js';

/** When targets are taken out. */
export type OutlierDetectorOptions = {
	readonly clock: Clock;
	/** Failures in a row that take a target out. */
	readonly maxFailures: number;
	/** A target is slow when its mean latency is this multiple of the group's median. */
	readonly slowFactor: number;
	/** Latency below which no target counts as slow, in milliseconds. */
	readonly slowMinMs: number;
	/** First time out, in milliseconds; doubles while probes fail. */
	readonly ejectionMs: number;
	readonly maxEjectionMs: number;
	/** Largest part of a group that is out at once, from 0 to 1. */
	readonly maxEjectedFraction: number;
	/** Called with each target that is taken out and the time until which it is. */
	readonly onEjected: (targetId: string, untilMs: number) => void;
};

/** Takes failing and slow targets out and lets them back in after a successful probe. */
export type OutlierDetector = {
	/**
	 * Targets that get no call now: those that are out, and those on probation while their probe is
	 * under way.
	 */
	excluded(group: string): ReadonlySet<string>;
	/** A call goes out to a target; on probation it is the probe. */
	recordSent(targetId: string): void;
	/**
	 * A call ended.
	 * @param group - targets that can stand in for each other, such as those of one service
	 * @param latencyMs - duration of the call in milliseconds
	 */
	recordResult(
		group: string,
		targetId: string,
		succeeded: boolean,
		latencyMs: number,
	): void;
	/** Sets the targets of a group and forgets others. */
	setTargets(group: string, targetIds: readonly string[]): void;
};

type TargetHealth = {
	failures: number;
	meanLatencyMs: number;
	samples: number;
	state: 'in' | 'out' | 'probation';
	untilMs: number;
	ejections: number;
	probing: boolean;
};

const smoothing = 0.2;
const minSamples = 5;

/** Creates a detector that knows no targets. */
export function createOutlierDetector(
	options: OutlierDetectorOptions,
): OutlierDetector {
	const {clock} = options;
	const groups = new Map<string, Map<string, TargetHealth>>();

	const healthy = (): TargetHealth => ({
		failures: 0,
		meanLatencyMs: 0,
		samples: 0,
		state: 'in',
		untilMs: 0,
		ejections: 0,
		probing: false,
	});

	const refresh = (health: TargetHealth) => {
		if (health.state === 'out' && health.untilMs <= clock.nowMs()) {
			health.state = 'probation';
			health.probing = false;
		}
	};

	const eject = (
		targets: ReadonlyMap<string, TargetHealth>,
		targetId: string,
		health: TargetHealth,
	) => {
		let out = 0;
		for (const [id, other] of targets) {
			refresh(other);
			out += id !== targetId && other.state !== 'in' ? 1 : 0;
		}

		// Calls to the last targets may still succeed; with most of them out none would.
		if (out + 1 > targets.size * options.maxEjectedFraction) {
			health.state = 'in';
			return;
		}

		const outMs = Math.min(
			options.maxEjectionMs,
			options.ejectionMs * 2 ** health.ejections,
		);
		health.ejections++;
		health.state = 'out';
		health.untilMs = clock.nowMs() + outMs;
		health.samples = 0;
		options.onEjected(targetId, health.untilMs);
	};

	const isSlow = (
		targets: ReadonlyMap<string, TargetHealth>,
		health: TargetHealth,
	) => {
		if (
			health.samples < minSamples ||
			health.meanLatencyMs < options.slowMinMs
		) {
			return false;
		}

		const means = [...targets.values()]
			.filter((other) => other.samples >= minSamples)
			.map((other) => other.meanLatencyMs)
			.sort((first, second) => first - second);
		const median = means[Math.floor((means.length - 1) / 2)];
		return health.meanLatencyMs > options.slowFactor * median;
	};

	const recovered = (health: TargetHealth) => {
		health.state = 'in';
		health.probing = false;
		health.ejections = 0;
		health.failures = 0;
	};

	return {
		excluded(group) {
			const excluded = new Set<string>();
			for (const [id, health] of groups.get(group) ?? []) {
				refresh(health);
				if (health.state === 'out' || health.probing) {
					excluded.add(id);
				}
			}

			return excluded;
		},
		recordSent(targetId) {
			for (const targets of groups.values()) {
				const health = targets.get(targetId);
				if (health?.state === 'probation') {
					health.probing = true;
				}
			}
		},
		recordResult(group, targetId, succeeded, latencyMs) {
			const targets = groups.get(group);
			const health = targets?.get(targetId);
			if (!targets || !health || health.state === 'out') {
				return;
			}

			const wasProbe = health.state === 'probation';
			health.probing = false;
			health.failures = succeeded ? 0 : health.failures + 1;
			if (succeeded) {
				health.meanLatencyMs +=
					health.samples === 0
						? latencyMs - health.meanLatencyMs
						: (latencyMs - health.meanLatencyMs) * smoothing;
				health.samples++;
			}

			if (
				(wasProbe && !succeeded) ||
				health.failures >= options.maxFailures ||
				(succeeded && isSlow(targets, health))
			) {
				eject(targets, targetId, health);
			} else if (wasProbe) {
				recovered(health);
			}
		},
		setTargets(group, targetIds) {
			const before = groups.get(group);
			groups.set(
				group,
				new Map(targetIds.map((id) => [id, before?.get(id) ?? healthy()])),
			);
		},
	};
}
