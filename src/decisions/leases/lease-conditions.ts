import {mayArrive} from './lease-events.js';
import {isSameHolder} from './lease-record.js';
import type {LeaseSettings, LeaseState, SentCopy} from './types.js';

// Part of a lease's duration that a holder leaves unused, against clocks that run at other rates.
const marginShare = 0.1;

/** Copies of the command in flight that this process sent. */
export function ownCopies(state: LeaseState): readonly SentCopy[] {
	const commandId = state.record?.intent?.commandId;
	return state.copies.filter((copy) => copy.commandId === commandId);
}

/** Copies that may still change the target. */
export function pendingCopyCount(
	copies: readonly SentCopy[],
	nowMs: number,
	settings: LeaseSettings,
): number {
	return copies.filter((copy) => mayArrive(copy, nowMs, settings)).length;
}

/** True if no copy of the command in flight can change the target's state any more. */
export function isSettled(
	state: LeaseState,
	nowMs: number,
	settings: LeaseSettings,
): boolean {
	const record = state.record!;
	const own = ownCopies(state);
	const fencedOff =
		state.fencing === 'refuses-old' &&
		own.some(
			(copy) =>
				copy.outcome === 'accepted' &&
				copy.fencingNumber === record.fencingNumber,
		);
	// The senders of inherited copies are known to be gone only where the target ignores numbers.
	const inheritedDone =
		record.intent!.inheritedCount === 0 ||
		(state.fencing === 'ignores' &&
			nowMs - state.heldSinceMs >= settings.lateCopyMs);
	return (
		fencedOff || (inheritedDone && pendingCopyCount(own, nowMs, settings) === 0)
	);
}

/** True if a report of a time after the last copy's answer shows the wanted state. */
export function isIntentApplied(state: LeaseState): boolean {
	const latestMs = Math.max(
		state.heldSinceMs,
		...ownCopies(state).map((copy) => copy.endedMs ?? copy.sentMs),
	);
	return state.seenAppliedMs !== undefined && state.seenAppliedMs >= latestMs;
}

/** True if this VM may send or announce commands now. */
export function mayAct(
	state: LeaseState,
	nowMs: number,
	settings: LeaseSettings,
): boolean {
	return (
		isSameHolder(state.record?.holder, state.self) &&
		state.record!.waitingFor === undefined &&
		state.record!.fencingNumber >= state.minFencingNumber &&
		state.pendingWrite === undefined &&
		!state.mustRead &&
		nowMs < state.validUntilMs - settings.durationMs * marginShare
	);
}
