import {
	type Clock,
	createEmitter,
	type Disposable,
	type Event,
} from '../../common/index.js';
import type {CrashEvidence} from './crash-evidence.js';
import {areSuspicious} from './suspicion.js';
import type {PartCrash, QuarantineDecision} from './types.js';

export type PromptQuarantineOptions = {
	readonly clock: Clock;
	readonly evidence: CrashEvidence;
	/** Largest number of VMs that may be serving, this one included. */
	readonly vmCount: () => number;
	/** Place of this VM in the order in which VMs make trials, from 0 to 1. */
	readonly trialOrder: number;
};

/** A prompt part that has become suspected of ending engines, or no longer is. */
export type SuspicionChange = {
	readonly partId: string;
	readonly isSuspected: boolean;
	/** Number of engines that are known to have ended under it. */
	readonly crashCount: number;
};

/**
 * Keeps requests from engines whose prompts have parts under which engines have ended one after the
 * other. Decisions are made on this VM alone, from the evidence that it has.
 */
export type PromptQuarantine = Disposable & {
	/** Fires when a part has become suspected or no longer is. */
	readonly onChanged: Event<SuspicionChange>;
	/** Decides on a request; a trial is used up by the decision. */
	decide(partIds: readonly string[]): QuarantineDecision;
	/** The decision on a request if it is held; undefined if it is free, or could be a trial. */
	held(
		partIds: readonly string[],
	): Extract<QuarantineDecision, {outcome: 'held'}> | undefined;
	/** Ends suspicions that have become old; called at regular intervals. */
	sweep(): void;
};

/** Shortest time for which requests are held after the last crash, in milliseconds. */
const minHoldMs = 120_000;
const maxHoldMs = 3_600_000;
/**
 * The hold time as a multiple of the time from the first crash to the last, so that each trial that ends
 * an engine lengthens the time until the next.
 */
const holdFactor = 2;
/** Time between the trials of two VMs, in milliseconds; longer than a crash takes to become known to all. */
const trialSpacingMs = 5000;
/** Time after a trial in which this VM makes no other with the same part, in milliseconds. */
const trialIntervalMs = 30_000;
/** Time after which crashes that are too few for a suspicion are forgotten, in milliseconds. */
const crashRetentionMs = 600_000;
/** Time after which a suspicion without requests is forgotten, as a multiple of the hold time. */
const suspicionRetentionFactor = 3;

const lastOf = (crashes: readonly PartCrash[]) =>
	crashes.at(-1)?.atMs ?? -Infinity;

function holdMs(crashes: readonly PartCrash[]): number {
	const spanMs = lastOf(crashes) - (crashes[0]?.atMs ?? 0);
	return Math.min(maxHoldMs, Math.max(minHoldMs, holdFactor * spanMs));
}

/** Creates a quarantine that holds nothing. */
export function createPromptQuarantine({
	clock,
	evidence,
	vmCount,
	trialOrder,
}: PromptQuarantineOptions): PromptQuarantine {
	const changed = createEmitter<SuspicionChange>();
	/** Crashes of the suspected parts, in the order of time. */
	const suspects = new Map<string, readonly PartCrash[]>();
	/** Monotonic times until which no other trial with a part is made, in milliseconds. */
	const nextTrialMs = new Map<string, number>();

	const isSuspicious = (partId: string, crashes: readonly PartCrash[]) =>
		areSuspicious(crashes, evidence.lastWholeResponseMs(partId));

	const updateSuspect = (partId: string) => {
		const crashes = evidence.crashesOf(partId);
		const isSuspected = isSuspicious(partId, crashes);
		const wasSuspected = suspects.has(partId);
		if (isSuspected) {
			suspects.set(partId, crashes);
		} else {
			suspects.delete(partId);
			nextTrialMs.delete(partId);
		}

		if (isSuspected !== wasSuspected) {
			changed.fire({partId, isSuspected, crashCount: crashes.length});
		}
	};

	const subscription = evidence.onChanged(({partId}) => {
		updateSuspect(partId);
	});

	const suspectedOf = (partIds: readonly string[]) =>
		partIds.filter((partId) => suspects.has(partId));

	/**
	 * Engines whose ends a suspected part outside the request explains. Parts that many requests share are in
	 * the same crashes as the part that causes them.
	 */
	const explainedEngines = (partIds: readonly string[]): ReadonlySet<string> =>
		new Set(
			[...suspects]
				.filter(([partId]) => !partIds.includes(partId))
				.flatMap(([, crashes]) => crashes.map(({engine}) => engine)),
		);

	/** Crashes for which the request must be held; undefined if there are too few. */
	const crashesAgainst = (
		partIds: readonly string[],
	): readonly PartCrash[] | undefined => {
		const suspected = suspectedOf(partIds);
		if (suspected.length === 0) {
			return undefined;
		}

		const explained = explainedEngines(partIds);
		let most: readonly PartCrash[] | undefined;
		for (const partId of suspected) {
			const crashes = (suspects.get(partId) ?? []).filter(
				({engine}) => !explained.has(engine),
			);
			const hasMore = crashes.length > (most?.length ?? 0);
			if (hasMore && isSuspicious(partId, crashes)) {
				most = crashes;
			}
		}

		return most;
	};

	const holdUntil = (
		partIds: readonly string[],
		crashes: readonly PartCrash[],
		untilMs: number,
	) => ({
		outcome: 'held' as const,
		partIds: suspectedOf(partIds),
		crashCount: crashes.length,
		retryAfterMs: untilMs - clock.nowMs(),
	});

	return {
		onChanged: changed.event,
		decide(partIds) {
			const crashes = crashesAgainst(partIds);
			if (!crashes) {
				return {outcome: 'free'};
			}

			const nowMs = clock.nowMs();
			const suspected = suspectedOf(partIds);
			const holdEndMs = lastOf(crashes) + holdMs(crashes);
			const turnMs = holdEndMs + trialOrder * vmCount() * trialSpacingMs;
			const trialMs = Math.max(
				turnMs,
				...suspected.map((partId) => nextTrialMs.get(partId) ?? -Infinity),
			);
			if (nowMs < trialMs) {
				// Other VMs make trials before the turn of this one.
				const untilMs = nowMs < holdEndMs ? holdEndMs : trialMs;
				return holdUntil(partIds, crashes, untilMs);
			}

			for (const partId of suspected) {
				nextTrialMs.set(partId, nowMs + trialIntervalMs);
			}

			return {outcome: 'trial', partIds: suspected};
		},
		held(partIds) {
			const crashes = crashesAgainst(partIds);
			const holdEndMs = crashes && lastOf(crashes) + holdMs(crashes);
			return crashes && holdEndMs !== undefined && clock.nowMs() < holdEndMs
				? holdUntil(partIds, crashes, holdEndMs)
				: undefined;
		},
		sweep() {
			const nowMs = clock.nowMs();
			for (const partId of evidence.partIds()) {
				const crashes = evidence.crashesOf(partId);
				const retentionMs = suspects.has(partId)
					? suspicionRetentionFactor * holdMs(crashes)
					: crashRetentionMs;
				if (nowMs - lastOf(crashes) > retentionMs) {
					evidence.forget(partId);
				}
			}

			evidence.sweep();
		},
		dispose() {
			subscription.dispose();
			changed.dispose();
		},
	};
}
