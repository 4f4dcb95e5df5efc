import type {Clock} from '../../common/index.js';

/** Thresholds and durations of ejections. */
export type OutlierDetectorOptions = {
	readonly clock: Clock;
	/** Consecutive failures that eject a target. */
	readonly maxFailures: number;
	/** A target is slow when its mean latency is above this multiple of the group's median. */
	readonly slowFactor: number;
	/** Mean latency below which no target counts as slow, in milliseconds. */
	readonly slowMinMs: number;
	/** Duration of the first ejection, in milliseconds; doubles with each ejection until a probe succeeds. */
	readonly ejectionMs: number;
	readonly maxEjectionMs: number;
	/** Largest fraction of a group that is excluded at once, from 0 to 1. */
	readonly maxEjectedFraction: number;
	/** @param untilMs - monotonic time at which the ejection ends, in milliseconds */
	readonly onEjected: (targetId: string, untilMs: number) => void;
};

/**
 * Ejects failing and slow targets for some time. Afterwards a target is on probation: its next call is a
 * probe, whose result ends the probation or ejects the target again.
 */
export type OutlierDetector = {
	/**
	 * Targets to avoid now: those ejected, and those on probation while a probe is in flight. Callers may
	 * still use them if there is no other.
	 */
	excluded(group: string): ReadonlySet<string>;
	/** Records that a call is sent to a target; on probation it is the probe. */
	recordSent(targetId: string): void;
	/**
	 * Records the result of a call.
	 * @param group - name of the targets that can stand in for each other, such as those of one service
	 * @param latencyMs - duration of the call in milliseconds; counts only if the call succeeded
	 */
	recordResult(
		group: string,
		targetId: string,
		succeeded: boolean,
		latencyMs: number,
	): void;
	/** Sets the targets of a group; the state of targets that stay is kept. */
	setTargets(group: string, targetIds: readonly string[]): void;
};

type TargetHealth = {
	consecutiveFailures: number;
	/** Exponentially weighted moving average of successful calls. */
	meanLatencyMs: number;
	/** Latency samples since the last ejection. */
	samples: number;
	state: 'healthy' | 'ejected' | 'probation';
	/** Monotonic time at which the ejection ends, in milliseconds. */
	ejectedUntilMs: number;
	/** Ejections since the last successful probe. */
	ejections: number;
	isProbing: boolean;
};

/** Weight of a new sample in the mean latency. */
const smoothing = 0.2;
/** Smallest number of samples with which a mean latency is compared. */
const minSamples = 5;

/** Creates a detector without groups. */
export function createOutlierDetector(
	options: OutlierDetectorOptions,
): OutlierDetector {
	const {clock} = options;
	const groups = new Map<string, Map<string, TargetHealth>>();

	const createHealth = (): TargetHealth => ({
		consecutiveFailures: 0,
		meanLatencyMs: 0,
		samples: 0,
		state: 'healthy',
		ejectedUntilMs: 0,
		ejections: 0,
		isProbing: false,
	});

	/** Starts the probation of a target whose ejection is over. */
	const refresh = (health: TargetHealth) => {
		if (health.state === 'ejected' && health.ejectedUntilMs <= clock.nowMs()) {
			health.state = 'probation';
			health.isProbing = false;
		}
	};

	const eject = (
		targets: ReadonlyMap<string, TargetHealth>,
		targetId: string,
		health: TargetHealth,
	) => {
		let unhealthyCount = 0;
		for (const [id, other] of targets) {
			refresh(other);
			unhealthyCount += id !== targetId && other.state !== 'healthy' ? 1 : 0;
		}

		// Keep a failing target in use rather than leave too few: calls to it may still succeed.
		if (unhealthyCount + 1 > targets.size * options.maxEjectedFraction) {
			health.state = 'healthy';
			return;
		}

		const ejectionMs = Math.min(
			options.maxEjectionMs,
			options.ejectionMs * 2 ** health.ejections,
		);
		health.ejections++;
		health.state = 'ejected';
		health.ejectedUntilMs = clock.nowMs() + ejectionMs;
		health.samples = 0;
		options.onEjected(targetId, health.ejectedUntilMs);
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

	const endProbation = (health: TargetHealth) => {
		health.state = 'healthy';
		health.isProbing = false;
		health.ejections = 0;
		health.consecutiveFailures = 0;
	};

	return {
		excluded(group) {
			const excluded = new Set<string>();
			for (const [id, health] of groups.get(group) ?? []) {
				refresh(health);
				if (health.state === 'ejected' || health.isProbing) {
					excluded.add(id);
				}
			}

			return excluded;
		},
		recordSent(targetId) {
			for (const targets of groups.values()) {
				const health = targets.get(targetId);
				if (health?.state === 'probation') {
					health.isProbing = true;
				}
			}
		},
		recordResult(group, targetId, succeeded, latencyMs) {
			const targets = groups.get(group);
			const health = targets?.get(targetId);
			if (!targets || !health || health.state === 'ejected') {
				return;
			}

			const wasProbe = health.state === 'probation';
			health.isProbing = false;
			health.consecutiveFailures = succeeded
				? 0
				: health.consecutiveFailures + 1;
			if (succeeded) {
				health.meanLatencyMs +=
					health.samples === 0
						? latencyMs - health.meanLatencyMs
						: (latencyMs - health.meanLatencyMs) * smoothing;
				health.samples++;
			}

			if (
				(wasProbe && !succeeded) ||
				health.consecutiveFailures >= options.maxFailures ||
				(succeeded && isSlow(targets, health))
			) {
				eject(targets, targetId, health);
			} else if (wasProbe) {
				endProbation(health);
			}
		},
		setTargets(group, targetIds) {
			const previous = groups.get(group);
			groups.set(
				group,
				new Map(
					targetIds.map((id) => [id, previous?.get(id) ?? createHealth()]),
				),
			);
		},
	};
}
