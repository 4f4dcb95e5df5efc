import {LRUCache} from 'lru-cache';
import {
	type Clock,
	createEmitter,
	type Disposable,
	type Event,
} from '../../common/index.js';
import type {
	EvidenceSource,
	PartChange,
	PartCrash,
	PartReport,
	SentPart,
} from './types.js';

/**
 * Which prompt parts were in requests under which engines ended, by the knowledge of this VM and of those
 * that have told it. A part is in evidence until a request with it has its first event.
 */
export type CrashEvidence = Disposable & {
	readonly onChanged: Event<PartChange>;
	/** Ids of the parts with crashes. */
	partIds(): readonly string[];
	/**
	 * Monotonic time of the last known first event of a request with a part that has crashes, in milliseconds;
	 * -Infinity if there is none.
	 */
	lastFirstEventMs(partId: string): number;
	/** Crashes under a part since the last first event of a request with it, in the order of time. */
	crashesOf(partId: string): readonly PartCrash[];
	/**
	 * Records that an engine ended while requests of this VM waited for their first event there.
	 * @param parts - parts of these requests
	 * @param atMs - monotonic time at which the engine ended, in milliseconds
	 */
	recordCrash(engine: string, parts: readonly SentPart[], atMs: number): void;
	/** Records that a request of this VM has had its first event, which clears its parts. */
	recordFirstEvent(partIds: readonly string[]): void;
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
/** Only the newest crashes of a part are kept. */
const maxCrashesPerPart = 32;
/** Time for which a first event is remembered, so that older reports of other VMs are recognized, in milliseconds. */
const clearedRetentionMs = 10_000;
/** Smaller differences between the reports of two VMs come from the transit times of messages, in milliseconds. */
const transitToleranceMs = 50;

type PartRecord = {
	/** By engine. */
	readonly crashes: Map<string, PartCrash>;
	/** Monotonic time of the latest known first event, in milliseconds. */
	clearedMs: number;
	/** Monotonic times of the latest news from any VM and from own requests, in milliseconds. */
	readonly newsMs: {any: number; own: number};
	/** Monotonic time of the latest record, news or not, in milliseconds. */
	touchedMs: number;
};

const byTime = (first: PartCrash, second: PartCrash) =>
	first.atMs - second.atMs;

/** Creates evidence without crashes. */
export function createCrashEvidence(clock: Clock): CrashEvidence {
	const changed = createEmitter<PartChange>();
	const records = new Map<string, PartRecord>();
	/** Monotonic times of the last first events of own requests, by part, in milliseconds. */
	const firstEventsMs = new LRUCache<string, number>({max: maxPartCount});

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
			clearedMs: firstEventsMs.get(partId) ?? -Infinity,
			newsMs: {any: -Infinity, own: -Infinity},
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

	const dropOldestCrash = ({crashes}: PartRecord) => {
		if (crashes.size > maxCrashesPerPart) {
			const [oldest] = [...crashes.values()].sort(byTime);
			crashes.delete(oldest.engine);
		}
	};

	/** @returns true if this was news */
	const addCrash = (record: PartRecord, crash: PartCrash): boolean => {
		const known = record.crashes.get(crash.engine);
		const isKnown =
			known !== undefined && crash.sentMs <= known.sentMs + transitToleranceMs;
		if (isKnown || crash.atMs <= record.clearedMs) {
			return false;
		}

		record.crashes.set(crash.engine, {
			...crash,
			atMs: known?.atMs ?? crash.atMs,
		});
		dropOldestCrash(record);
		return true;
	};

	/** @returns true if crashes were cleared */
	const clear = (record: PartRecord, atMs: number): boolean => {
		record.clearedMs = Math.max(record.clearedMs, atMs);
		const sizeBefore = record.crashes.size;
		for (const [engine, crash] of record.crashes) {
			if (crash.atMs <= record.clearedMs) {
				record.crashes.delete(engine);
			}
		}

		return record.crashes.size < sizeBefore;
	};

	const toReport = (partId: string, record: PartRecord): PartReport => {
		const nowMs = clock.nowMs();
		return {
			partId,
			crashes: [...record.crashes.values()].map(({engine, atMs, sentMs}) => ({
				engine,
				ageMs: nowMs - atMs,
				sentAgeMs: nowMs - sentMs,
			})),
			clearedAgeMs:
				record.clearedMs === -Infinity ? undefined : nowMs - record.clearedMs,
		};
	};

	return {
		onChanged: changed.event,
		partIds: () =>
			[...records]
				.filter(([, {crashes}]) => crashes.size > 0)
				.map(([partId]) => partId),
		lastFirstEventMs: (partId) => records.get(partId)?.clearedMs ?? -Infinity,
		crashesOf: (partId) =>
			[...(records.get(partId)?.crashes.values() ?? [])].sort(byTime),
		recordCrash(engine, parts, atMs) {
			for (const {partId, sentMs} of parts) {
				const record = recordOf(partId);
				if (record && addCrash(record, {engine, atMs, sentMs})) {
					fireChange(partId, record, 'crash', 'own');
				}
			}
		},
		recordFirstEvent(partIds) {
			const nowMs = clock.nowMs();
			for (const partId of partIds) {
				firstEventsMs.set(partId, nowMs);
				const record = records.get(partId);
				if (record && clear(record, nowMs)) {
					fireChange(partId, record, 'first-event', 'own');
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
				clear(record, nowMs - Math.max(0, clearedAgeMs));
			if (isCleared) {
				fireChange(partId, record, 'first-event', 'peer');
			}

			let hasNews = false;
			for (const {engine, ageMs, sentAgeMs} of crashes) {
				const atMs = nowMs - Math.max(0, ageMs);
				const sentMs = nowMs - Math.max(0, sentAgeMs);
				hasNews = addCrash(record, {engine, atMs, sentMs}) || hasNews;
			}

			if (hasNews) {
				fireChange(partId, record, 'crash', 'peer');
			}
		},
		reports(sinceMs, source) {
			const newsKind = source === 'own' ? 'own' : 'any';
			return [...records]
				.filter(([, {newsMs}]) => newsMs[newsKind] >= sinceMs)
				.map(([partId, record]) => toReport(partId, record));
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
