import type {FencingSupport, LeaseHolder} from '../../common/index.js';
import {
	isSettled,
	isIntentApplied,
	mayAct,
	pendingCopyCount,
	ownCopies,
} from './lease-conditions.js';
import {advanceLease} from './lease-events.js';
import {isSameHolder} from './lease-record.js';
import type {
	LeaseAction,
	LeaseDecisions,
	LeaseRecord,
	LeaseSettings,
	LeaseState,
	SentCopy,
	WritePurpose,
} from './types.js';

// Copies of one command that may be without an answer at the same time.
const maxOpenCopies = 3;

const waiting: LeaseAction = {kind: 'wait'};
const reading: LeaseAction = {kind: 'read'};

/** State of a lease whose row has not been read. */
export function initialLeaseState(
	self: LeaseHolder,
	fencing: FencingSupport,
	rank: number,
): LeaseState {
	return {
		self,
		fencing,
		rank,
		record: undefined,
		version: -1,
		unchangedSinceMs: 0,
		validUntilMs: 0,
		renewedMs: 0,
		heldSinceMs: 0,
		pendingWrite: undefined,
		mustRead: true,
		predecessor: 'unknown',
		copies: [],
		seenAppliedMs: undefined,
		reportMs: 0,
		freeSinceMs: 0,
		minFencingNumber: 0,
	};
}

function write(purpose: WritePurpose, record: LeaseRecord): LeaseAction {
	return {
		kind: 'write',
		purpose,
		record: {...record, renewal: record.renewal + 1},
	};
}

function decideChallenger(
	state: LeaseState,
	nowMs: number,
	settings: LeaseSettings,
): LeaseAction {
	const {record, self} = state;
	if (state.rank < 0) {
		return waiting;
	}

	const unchangedMs = nowMs - state.unchangedSinceMs;
	const neededMs =
		(record?.holder === undefined ? 0 : settings.durationMs) +
		state.rank * settings.renewalMs;
	if (unchangedMs < neededMs) {
		return waiting;
	}

	const intent = record?.intent;
	return write('take', {
		holder: self,
		fencingNumber: (record?.fencingNumber ?? 0) + 1,
		renewal: record?.renewal ?? 0,
		wantedModels: record?.wantedModels ?? {},
		intent: intent && {
			...intent,
			sentCount: 0,
			answeredCount: 0,
			inheritedCount:
				intent.inheritedCount + intent.sentCount - intent.answeredCount,
		},
		waitingFor:
			intent && state.fencing === 'ignores'
				? (record.waitingFor ?? record.holder)
				: undefined,
	});
}

function cleared(record: LeaseRecord): LeaseRecord {
	const {kind, name, version} = record.intent!.order;
	const isModel = kind === 'load-model' || kind === 'unload-model';
	const state = kind === 'load-model' ? 'loaded' : 'unloaded';
	return {
		...record,
		intent: undefined,
		wantedModels: isModel
			? {...record.wantedModels, [name]: {state, version}}
			: record.wantedModels,
	};
}

// An accepted copy is repeated only after a report that is newer than its answer does not show the
// state; repeating it earlier would put off the moment from which a report counts.
function isResendDue(
	state: LeaseState,
	last: SentCopy | undefined,
	nowMs: number,
	settings: LeaseSettings,
): boolean {
	if (!last) {
		return true;
	}

	const isReported =
		last.outcome !== 'accepted' || state.reportMs >= last.endedMs!;
	return isReported && nowMs - last.sentMs >= settings.resendMs;
}

function decideIntent(
	state: LeaseState,
	nowMs: number,
	settings: LeaseSettings,
): LeaseAction {
	const record = state.record!;
	const intent = record.intent!;
	const own = ownCopies(state);
	const last = own.at(-1);
	const sentCount = last?.copyNumber ?? 0;
	if (sentCount < intent.sentCount) {
		return mayAct(state, nowMs, settings)
			? {
					kind: 'send',
					commandId: intent.commandId,
					copyNumber: sentCount + 1,
					order: {...intent.order, fencingNumber: record.fencingNumber},
				}
			: write('renew', record);
	}

	if (isSettled(state, nowMs, settings) && isIntentApplied(state)) {
		return write('clear', cleared(record));
	}

	if (
		isResendDue(state, last, nowMs, settings) &&
		pendingCopyCount(own, nowMs, settings) < maxOpenCopies
	) {
		return write('announce', {
			...record,
			fencingNumber: record.fencingNumber + 1,
			intent: {
				...intent,
				sentCount: sentCount + 1,
				answeredCount: answeredCount(state),
			},
		});
	}

	return waiting;
}

function answeredCount(state: LeaseState): number {
	const intent = state.record!.intent!;
	const open = ownCopies(state).filter(
		(copy) => copy.outcome === 'open' || copy.outcome === 'unanswered',
	);
	const sentCount = ownCopies(state).at(-1)?.copyNumber ?? 0;
	return Math.max(intent.answeredCount, sentCount - open.length);
}

function renewed(state: LeaseState): LeaseRecord {
	const record = state.record!;
	return record.intent
		? {
				...record,
				intent: {...record.intent, answeredCount: answeredCount(state)},
			}
		: record;
}

function decideHolder(
	state: LeaseState,
	nowMs: number,
	settings: LeaseSettings,
): LeaseAction {
	const record = state.record!;
	if (record.fencingNumber < state.minFencingNumber) {
		return reading;
	}

	if (state.rank < 0 && !record.intent && !record.waitingFor) {
		return write('release', {...record, holder: undefined});
	}

	if (nowMs >= state.validUntilMs) {
		return write('renew', renewed(state));
	}

	// Every write renews the lease, so a plain renewal comes last; first, it would hold up the rest
	// whenever the daemon looks less often than the lease is renewed.
	const action = decideHeld(state, nowMs, settings);
	return action.kind === 'wait' && nowMs - state.renewedMs >= settings.renewalMs
		? write('renew', renewed(state))
		: action;
}

function decideHeld(
	state: LeaseState,
	nowMs: number,
	settings: LeaseSettings,
): LeaseAction {
	const record = state.record!;
	if (!record.waitingFor) {
		return record.intent ? decideIntent(state, nowMs, settings) : waiting;
	}

	if (state.predecessor === 'unknown') {
		return {kind: 'ask', holder: record.waitingFor};
	}

	const isConfirmed = state.predecessor === 'stopped';
	return write('activate', {
		...record,
		waitingFor: undefined,
		intent: record.intent && {
			...record.intent,
			inheritedCount: isConfirmed ? 0 : record.intent.inheritedCount,
		},
	});
}

/** The decisions that the binaries use. */
export const leaseDecisions: LeaseDecisions = {
	advance: advanceLease,
	decide(state, nowMs, settings) {
		if (state.mustRead) {
			return reading;
		}

		if (state.pendingWrite) {
			return waiting;
		}

		return isSameHolder(state.record?.holder, state.self)
			? decideHolder(state, nowMs, settings)
			: decideChallenger(state, nowMs, settings);
	},
	mayIssueCommand(state, nowMs, settings) {
		return mayAct(state, nowMs, settings) && state.record!.intent === undefined;
	},
	hasStopped(state, nowMs, settings) {
		return pendingCopyCount(state.copies, nowMs, settings) === 0;
	},
};
