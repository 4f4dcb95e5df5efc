import {isSameHolder, isOrderApplied} from './lease-record.js';
import type {
	LeaseEvent,
	LeaseRecord,
	LeaseSettings,
	LeaseState,
	SentCopy,
} from './types.js';

/** True if a copy without an answer can no longer arrive. */
export function isPastArrival(
	copy: SentCopy,
	nowMs: number,
	settings: LeaseSettings,
): boolean {
	return (
		copy.outcome === 'unanswered' &&
		nowMs - copy.endedMs! >= settings.lateCopyMs
	);
}

/** True if a copy may still change the target's state. */
export function mayArrive(
	copy: SentCopy,
	nowMs: number,
	settings: LeaseSettings,
): boolean {
	return (
		copy.outcome === 'open' ||
		(copy.outcome === 'unanswered' && !isPastArrival(copy, nowMs, settings))
	);
}

function isSameRecord(a: LeaseRecord | undefined, b: LeaseRecord): boolean {
	return a !== undefined && JSON.stringify(a) === JSON.stringify(b);
}

function adopt(
	state: LeaseState,
	record: LeaseRecord | undefined,
	version: number,
	nowMs: number,
): LeaseState {
	const seen = {...state, record, version, unchangedSinceMs: nowMs};
	if (!isSameHolder(record?.holder, state.self)) {
		return {
			...seen,
			predecessor: 'unknown',
			validUntilMs: 0,
			seenAppliedMs: undefined,
		};
	}

	const before = state.record;
	const held = isSameHolder(before?.holder, state.self);
	const activated =
		before?.waitingFor !== undefined && record!.waitingFor === undefined;
	const freed =
		record!.intent === undefined && (!held || before?.intent !== undefined);
	const sameCommand = record!.intent?.commandId === before?.intent?.commandId;
	return {
		...seen,
		predecessor: held ? state.predecessor : 'unknown',
		heldSinceMs: !held || activated ? nowMs : state.heldSinceMs,
		freeSinceMs: freed ? nowMs : state.freeSinceMs,
		seenAppliedMs: sameCommand ? state.seenAppliedMs : undefined,
	};
}

function onRowSeen(
	state: LeaseState,
	event: Extract<LeaseEvent, {type: 'row-seen'}>,
	nowMs: number,
	settings: LeaseSettings,
): LeaseState {
	const {pendingWrite} = state;
	const known = {...state, writing: undefined, mustRead: false};
	if (event.version === state.version) {
		return known;
	}

	const adopted = adopt(known, event.record, event.version, nowMs);
	return pendingWrite && isSameRecord(event.record, pendingWrite.record)
		? extend(adopted, pendingWrite.startedMs, settings)
		: adopted;
}

// Validity counts from the start of the write: a challenger cannot have seen the row earlier.
function extend(
	state: LeaseState,
	startedMs: number,
	settings: LeaseSettings,
): LeaseState {
	return {
		...state,
		renewedMs: startedMs,
		validUntilMs: startedMs + settings.durationMs,
	};
}

function onCopySent(
	state: LeaseState,
	nowMs: number,
	settings: LeaseSettings,
): LeaseState {
	const record = state.record!;
	const {commandId} = record.intent!;
	const own = state.copies.filter((copy) => copy.commandId === commandId);
	const kept = state.copies.filter((copy) => mayArrive(copy, nowMs, settings));
	return {
		...state,
		copies: [
			...kept,
			{
				commandId,
				copyNumber: (own.at(-1)?.copyNumber ?? 0) + 1,
				fencingNumber: record.fencingNumber,
				sentMs: nowMs,
				outcome: 'open',
				endedMs: undefined,
			},
		],
	};
}

function onReport(
	state: LeaseState,
	event: Extract<LeaseEvent, {type: 'report'}>,
): LeaseState {
	const intent = state.record?.intent;
	if (!intent || event.atMs < state.reportMs) {
		return state;
	}

	const shown = isOrderApplied(intent.order, event.models);
	return {
		...state,
		reportMs: event.atMs,
		seenAppliedMs: shown ? event.atMs : undefined,
	};
}

/** State of a lease after an event; see {@link LeaseState}. */
export function advanceLease(
	state: LeaseState,
	event: LeaseEvent,
	nowMs: number,
	settings: LeaseSettings,
): LeaseState {
	switch (event.type) {
		case 'row-seen': {
			return onRowSeen(state, event, nowMs, settings);
		}

		case 'write-started': {
			return {...state, pendingWrite: {record: event.record, startedMs: nowMs}};
		}

		case 'write-done': {
			if (!state.pendingWrite) {
				return {...state, mustRead: true};
			}

			const {record, startedMs} = state.pendingWrite;
			const adopted = adopt(state, record, event.version, nowMs);
			return extend({...adopted, pendingWrite: undefined}, startedMs, settings);
		}

		case 'write-failed': {
			return {...state, pendingWrite: undefined};
		}

		case 'write-unknown': {
			return {...state, mustRead: true};
		}

		case 'copy-sent': {
			return onCopySent(state, nowMs, settings);
		}

		case 'copy-ended': {
			const copies = state.copies.map((copy): SentCopy =>
				copy.commandId === event.commandId &&
				copy.copyNumber === event.copyNumber
					? {...copy, outcome: event.outcome, endedMs: nowMs}
					: copy,
			);
			const mustRead = state.mustRead || event.outcome === 'refused';
			return {...state, copies, mustRead};
		}

		case 'report': {
			return onReport(state, event);
		}

		case 'predecessor': {
			return isSameHolder(event.holder, state.record?.waitingFor)
				? {...state, predecessor: event.evidence}
				: state;
		}

		case 'stop-asked': {
			return {
				...state,
				minFencingNumber: Math.max(state.minFencingNumber, event.fencingNumber),
				mustRead: true,
			};
		}

		case 'candidate': {
			return {...state, rank: event.rank};
		}
	}
}
