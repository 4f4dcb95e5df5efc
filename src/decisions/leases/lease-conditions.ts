import {mayArrive} from './lease-events.js';
import {isSameHolder} from './lease-record.js';
import type {LeaseSettings, LeaseState, SentCopy} from './types.js';

// Fraction of a lease's duration that the holder leaves unused, since clocks of VMs drift apart.
const marginFraction = 0.1;

/** Returns the copies of the command in flight that this process sent. */
export function ownCopies(state: LeaseState): readonly SentCopy[] {
	const commandId = state.record?.intent?.commandId;
	return state.copies.filter((copy) => copy.commandId === commandId);
}

/** Number of copies that may still change the target's state. */
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
	const isFencedOff =
		state.fencing === 'refuses-old' &&
		own.some(
			(copy) =>
				copy.outcome === 'accepted' &&
				copy.fencingNumber === record.fencingNumber,
		);
	// Only on targets that ignore fencing numbers does a holder wait until earlier holders are gone;
	// elsewhere they may still send, so that no delay makes inherited copies harmless.
	const isInheritedDone =
		record.intent!.inheritedCount === 0 ||
		(state.fencing === 'ignores' &&
			nowMs - state.heldSinceMs >= settings.lateCopyMs);
	return (
		isFencedOff ||
		(isInheritedDone && pendingCopyCount(own, nowMs, settings) === 0)
	);
}

/**
 * True if the wanted state is shown by a load report that is not older than the end of the last request
 * (its start, if it is open) and than this VM's time as the active holder.
 */
export function isIntentApplied(state: LeaseState): boolean {
	const latestMs = Math.max(
		state.heldSinceMs,
		...ownCopies(state).map((copy) => copy.endedMs ?? copy.sentMs),
	);
	return state.seenAppliedMs !== undefined && state.seenAppliedMs >= latestMs;
}

/**
 * True if this VM may send copies or issue commands now: it holds an activated and valid lease, no later
 * holder has requested its stop, and the row is known.
 */
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
		nowMs < state.validUntilMs - settings.durationMs * marginFraction
	);
}
