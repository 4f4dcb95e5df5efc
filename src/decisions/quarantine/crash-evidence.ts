import {LRUCache} from 'lru-cache';
import {
	type Clock,
	createEmitter,
	type Disposable,
	type Event,
} from '../../common/index.js';
import {
	addCrash,
	byTime,
	clearCrashes,
	isContradicted,
	type PartRecord,
	toPartReport,
} from './part-record.js';
import type {
	EvidenceSource,
	PartChange,
	PartCrash,
	PartReport,
	SentPart,
} from './types.js';

/**
 * Which prompt parts were in requests under which engines ended, by the knowledge of this VM and of those
 * that have told it. A part is in evidence until a request with it
 * has its whole response: an engine may end after some events as well as before the first.
 */
export type CrashEvidence = Disposable & {
	readonly onChanged: Event<PartChange>;
	/** Ids of the parts with crashes. */
	partIds(): readonly string[];
	/**
	 * Monotonic time of the last known whole response to a request with a part that has crashes, in milliseconds;
	 * -Infinity if there is none.
	 */
	lastWholeResponseMs(partId: string): number;
	/**
	 * Crashes under a part since the last whole response to a request with it, in the order of time, without those
	 * that the progress of other runs speaks against.
	 */
	crashesOf(partId: string): readonly PartCrash[];
	/**
	 * Records that an engine ended while requests of this VM ran there.
	 * @param parts - parts of these requests
	 * @param atMs - monotonic time at which the engine ended, in milliseconds
	 */
	recordCrash(engine: string, parts: readonly SentPart[], atMs: number): void;
	/** Records that a request of this VM has had its whole response, which clears its parts. */
	recordWholeResponse(partIds: readonly string[]): void;
	/**
	 * Records that a run of this VM has got so far at its engine. It speaks against the crashes at earlier points
	 * of the response: a request that ends engines would have ended this one there.
	 * @param eventCount - events that the engine has sent
	 */
	recordProgress(partIds: readonly string[], eventCount: number): void;
	/** Records what another VM knows. */
	recordReport(report: PartReport): void;
	/**
	 * What this VM knows, for other VMs.
	 * @param sinceMs - monotonic time from which on it has learned something about a part, in milliseconds
	 * @param source - `own` for what its own requests have shown; otherwise everything
	 */
	reports(sinceMs: number, source?: EvidenceSource): readonly PartReport[];
	/** Removes the crashes of a part. */
	forget(partId: string): void;
	/** Removes parts without crashes that were cleared long ago; called at regular intervals. */
	sweep(): void;
};

/** Longer ids are ignored, since the state per part must be bounded. */
const maxPartIdLength = 64;
const maxPartCount = 2000;
/** Time for which a whole response is remembered, so that older reports of other VMs are recognized, in milliseconds. */
const clearedRetentionMs = 10_000;
/** Creates evidence without crashes. */
export function createCrashEvidence(clock: Clock): CrashEvidence {
	const changed = createEmitter<PartChange>();
	const records = new Map<string, PartRecord>();
	/** Monotonic times of the last whole responses to own requests, by part, in milliseconds. */
	const wholeResponsesMs = new LRUCache<string, number>({max: maxPartCount});

	const forget = (partId: string) => {
		const record = records.get(partId);
		if (record && record.crashes.size > 0) {
			record.crashes.clear();
			changed.fire({partId, cause: 'expiry', source: 'own', crashCount: 0});
		}
	};

	/** Removes the oldest part with at most one crash; if all have more, the oldest. */
	const removeLeastTelling = () => {
		let removedId: string | undefined;
		for (const [partId, {crashes}] of records) {
			removedId ??= partId;
			if (crashes.size <= 1) {
				removedId = partId;
				break;
			}
		}

		if (removedId !== undefined) {
			forget(removedId);
			records.delete(removedId);
		}
	};

	const recordOf = (partId: string): PartRecord | undefined => {
		const known = records.get(partId);
		if (known) {
			known.touchedMs = clock.nowMs();
			return known;
		}

		if (partId.length > maxPartIdLength) {
			return undefined;
		}

		if (records.size >= maxPartCount) {
			removeLeastTelling();
		}

		const record: PartRecord = {
			crashes: new Map(),
			clearedMs: wholeResponsesMs.get(partId) ?? -Infinity,
			newsMs: {any: -Infinity, own: -Infinity},
			progressMs: new Map(),
			touchedMs: clock.nowMs(),
		};
		records.set(partId, record);
		return record;
	};

	const fireChange = (
		partId: string,
		record: PartRecord,
		cause: PartChange['cause'],
		source: EvidenceSource,
	) => {
		const nowMs = clock.nowMs();
		record.newsMs.any = nowMs;
		if (source === 'own') {
			record.newsMs.own = nowMs;
		}

		changed.fire({partId, cause, source, crashCount: record.crashes.size});
	};

	return {
		onChanged: changed.event,
		partIds: () =>
			[...records]
				.filter(([, {crashes}]) => crashes.size > 0)
				.map(([partId]) => partId),
		lastWholeResponseMs: (partId) =>
			records.get(partId)?.clearedMs ?? -Infinity,
		crashesOf(partId) {
			const record = records.get(partId);
			return record
				? [...record.crashes.values()]
						.filter((crash) => !isContradicted(record, crash))
						.sort(byTime)
				: [];
		},
		recordCrash(engine, parts, atMs) {
			for (const {partId, sentMs, eventCount} of parts) {
				const record = recordOf(partId);
				if (record && addCrash(record, {engine, atMs, sentMs, eventCount})) {
					fireChange(partId, record, 'crash', 'own');
				}
			}
		},
		recordWholeResponse(partIds) {
			const nowMs = clock.nowMs();
			for (const partId of partIds) {
				wholeResponsesMs.set(partId, nowMs);
				const record = records.get(partId);
				if (record && clearCrashes(record, nowMs)) {
					fireChange(partId, record, 'whole-response', 'own');
				}
			}
		},
		recordProgress(partIds, eventCount) {
			const nowMs = clock.nowMs();
			for (const partId of partIds) {
				const record = records.get(partId);
				if (record && record.crashes.size > 0) {
					record.progressMs.set(eventCount, nowMs);
					changed.fire({
						partId,
						cause: 'progress',
						source: 'own',
						crashCount: record.crashes.size,
					});
				}
			}
		},
		recordReport({partId, crashes, clearedAgeMs}) {
			const nowMs = clock.nowMs();
			const record = recordOf(partId);
			if (!record) {
				return;
			}

			const isCleared =
				clearedAgeMs !== undefined &&
				clearCrashes(record, nowMs - Math.max(0, clearedAgeMs));
			if (isCleared) {
				fireChange(partId, record, 'whole-response', 'peer');
			}

			let hasNews = false;
			for (const {engine, ageMs, sentAgeMs, eventCount} of crashes) {
				const atMs = nowMs - Math.max(0, ageMs);
				const sentMs = nowMs - Math.max(0, sentAgeMs);
				const crash = {engine, atMs, sentMs, eventCount};
				hasNews = addCrash(record, crash) || hasNews;
			}

			if (hasNews) {
				fireChange(partId, record, 'crash', 'peer');
			}
		},
		reports(sinceMs, source) {
			const newsKind = source === 'own' ? 'own' : 'any';
			const nowMs = clock.nowMs();
			return [...records]
				.filter(([, {newsMs}]) => newsMs[newsKind] >= sinceMs)
				.map(([partId, record]) => toPartReport(partId, record, nowMs));
		},
		forget,
		sweep() {
			const nowMs = clock.nowMs();
			for (const [partId, {crashes, touchedMs}] of records) {
				if (crashes.size === 0 && nowMs - touchedMs > clearedRetentionMs) {
					records.delete(partId);
				}
			}
		},
		dispose() {
			changed.dispose();
		},
	};
}
