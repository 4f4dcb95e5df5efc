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

// Most copies of one command that may still reach the target at the same time.
const maxPendingCopies = 3;

const waitAction: LeaseAction = {kind: 'wait'};
const readAction: LeaseAction = {kind: 'read'};

/** Creates the state of a lease whose row has not been read. */
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
		return waitAction;
	}

	const unchangedMs = nowMs - state.unchangedSinceMs;
	const requiredMs =
		(record?.holder === undefined ? 0 : settings.durationMs) +
		state.rank * settings.renewalMs;
	if (unchangedMs < requiredMs) {
		return waitAction;
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

function withoutIntent(record: LeaseRecord): LeaseRecord {
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

// An accepted copy is resent only after a load report newer than its response did not show the state.
// Resending earlier would postpone the time from which a report counts as proof.
function isResendDue(
	state: LeaseState,
	last: SentCopy | undefined,
	nowMs: number,
	settings: LeaseSettings,
): boolean {
	if (!last) {
		return true;
	}

	const isReportNewer =
		last.outcome !== 'accepted' || state.reportMs >= last.endedMs!;
	return isReportNewer && nowMs - last.sentMs >= settings.resendMs;
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
	const lastSentNumber = last?.copyNumber ?? 0;
	if (lastSentNumber < intent.sentCount) {
		return mayAct(state, nowMs, settings)
			? {
					kind: 'send',
					commandId: intent.commandId,
					copyNumber: lastSentNumber + 1,
					order: {...intent.order, fencingNumber: record.fencingNumber},
				}
			: write('renew', record);
	}

	if (isSettled(state, nowMs, settings) && isIntentApplied(state)) {
		return write('clear', withoutIntent(record));
	}

	if (
		isResendDue(state, last, nowMs, settings) &&
		pendingCopyCount(own, nowMs, settings) < maxPendingCopies
	) {
		return write('announce', {
			...record,
			fencingNumber: record.fencingNumber + 1,
			intent: {
				...intent,
				sentCount: lastSentNumber + 1,
				answeredCount: countAnswered(state),
			},
		});
	}

	return waitAction;
}

function countAnswered(state: LeaseState): number {
	const intent = state.record!.intent!;
	const unanswered = ownCopies(state).filter(
		(copy) => copy.outcome === 'open' || copy.outcome === 'unanswered',
	);
	const lastSentNumber = ownCopies(state).at(-1)?.copyNumber ?? 0;
	return Math.max(intent.answeredCount, lastSentNumber - unanswered.length);
}

function withCurrentAnswers(state: LeaseState): LeaseRecord {
	const record = state.record!;
	return record.intent
		? {
				...record,
				intent: {...record.intent, answeredCount: countAnswered(state)},
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
		return readAction;
	}

	if (state.rank < 0 && !record.intent && !record.waitingFor) {
		return write('release', {...record, holder: undefined});
	}

	if (nowMs >= state.validUntilMs) {
		return write('renew', withCurrentAnswers(state));
	}

	// Every write renews the lease, so a plain renewal has the lowest priority. With the highest, it
	// would block all other actions whenever ticks are rarer than renewals.
	const action = decideWork(state, nowMs, settings);
	return action.kind === 'wait' && nowMs - state.renewedMs >= settings.renewalMs
		? write('renew', withCurrentAnswers(state))
		: action;
}

function decideWork(
	state: LeaseState,
	nowMs: number,
	settings: LeaseSettings,
): LeaseAction {
	const record = state.record!;
	if (!record.waitingFor) {
		return record.intent ? decideIntent(state, nowMs, settings) : waitAction;
	}

	if (state.predecessor === 'unknown') {
		return {kind: 'ask', holder: record.waitingFor};
	}

	const hasStopped = state.predecessor === 'stopped';
	return write('activate', {
		...record,
		waitingFor: undefined,
		intent: record.intent && {
			...record.intent,
			inheritedCount: hasStopped ? 0 : record.intent.inheritedCount,
		},
	});
}

/** The state machine of production; tests replace parts of it to plant faults. */
export const leaseDecisions: LeaseDecisions = {
	advance: advanceLease,
	decide(state, nowMs, settings) {
		if (state.mustRead) {
			return readAction;
		}

		if (state.pendingWrite) {
			return waitAction;
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
