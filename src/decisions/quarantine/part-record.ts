import {samePointLimit} from './response-point.js';
import type {PartCrash, PartReport} from './types.js';

/** Only the newest crashes of a part are kept. */
const maxCrashesPerPart = 32;
/** Smaller differences between the reports of two VMs come from the transit times of messages, in milliseconds. */
const transitToleranceMs = 50;

/** What is known of one prompt part. */
export type PartRecord = {
	/** By engine. */
	readonly crashes: Map<string, PartCrash>;
	/** Monotonic time of the latest known whole response, in milliseconds. */
	clearedMs: number;
	/** Monotonic times of the latest news from any VM and from own requests, in milliseconds. */
	readonly newsMs: {any: number; own: number};
	/** Monotonic times at which own runs last got so far, in milliseconds, by the number of events. */
	readonly progressMs: Map<number, number>;
	/** Monotonic time of the latest record, news or not, in milliseconds. */
	touchedMs: number;
};

/** Orders crashes by their time. */
export const byTime = (first: PartCrash, second: PartCrash) =>
	first.atMs - second.atMs;

function dropOldestCrash({crashes}: PartRecord): void {
	if (crashes.size > maxCrashesPerPart) {
		const [oldest] = [...crashes.values()].sort(byTime);
		crashes.delete(oldest.engine);
	}
}

/**
 * Adds a crash to a record.
 * @returns true if this was news
 */
export function addCrash(record: PartRecord, crash: PartCrash): boolean {
	const known = record.crashes.get(crash.engine);
	const isKnown =
		known !== undefined &&
		crash.sentMs <= known.sentMs + transitToleranceMs &&
		crash.eventCount <= known.eventCount;
	if (isKnown || crash.atMs <= record.clearedMs) {
		return false;
	}

	record.crashes.set(crash.engine, {
		engine: crash.engine,
		atMs: known?.atMs ?? crash.atMs,
		sentMs: Math.max(known?.sentMs ?? -Infinity, crash.sentMs),
		eventCount: Math.max(known?.eventCount ?? 0, crash.eventCount),
	});
	dropOldestCrash(record);
	return true;
}

/**
 * Removes the crashes before a whole response.
 * @param atMs - monotonic time of the response, in milliseconds
 * @returns true if crashes were cleared
 */
export function clearCrashes(record: PartRecord, atMs: number): boolean {
	record.clearedMs = Math.max(record.clearedMs, atMs);
	const sizeBefore = record.crashes.size;
	for (const [engine, crash] of record.crashes) {
		if (crash.atMs <= record.clearedMs) {
			record.crashes.delete(engine);
		}
	}

	return record.crashes.size < sizeBefore;
}

/** True if a later run has got past the point of the response at which the engine ended. */
export const isContradicted = (
	{progressMs}: PartRecord,
	{atMs, eventCount}: PartCrash,
): boolean =>
	[...progressMs].some(
		([reachedCount, reachedMs]) =>
			reachedMs >= atMs && reachedCount > samePointLimit(eventCount),
	);

/**
 * Describes a record for other VMs.
 * @param nowMs - current monotonic time, in milliseconds
 */
export function toPartReport(
	partId: string,
	record: PartRecord,
	nowMs: number,
): PartReport {
	return {
		partId,
		crashes: [...record.crashes.values()].map(
			({engine, atMs, sentMs, eventCount}) => ({
				engine,
				ageMs: nowMs - atMs,
				sentAgeMs: nowMs - sentMs,
				eventCount,
			}),
		),
		clearedAgeMs:
			record.clearedMs === -Infinity ? undefined : nowMs - record.clearedMs,
	};
}
