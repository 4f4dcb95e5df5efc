import type {FencingSupport} from '../../../common/index.js';
import {isOrderApplied} from '../../../decisions/leases/index.js';
import type {HolderName, ExplorationState} from './exploration-state.js';

/**
 * Sends the pending copy of a holder. At a target that ignores fencing numbers it checks that no older
 * command of one holder follows a newer one of the other, and that no other command is in flight.
 */
export function sendCopy(
	state: ExplorationState,
	name: HolderName,
	fencing: FencingSupport,
	violations: Set<string>,
): ExplorationState {
	const copy = state[name].unsentCopy!;
	const previous = state.lastSentCopy;
	const isOlder =
		previous !== undefined &&
		previous.from !== name &&
		copy.order.fencingNumber < previous.order.fencingNumber;
	if (isOlder && fencing === 'ignores') {
		violations.add(`${name} sent after ${previous.from} had sent`);
	}

	const canOvertake = state.copiesInFlight.some(
		(other) =>
			other.order.kind !== copy.order.kind &&
			state[other.from].processState !== 'crashed',
	);
	if (canOvertake && fencing === 'ignores') {
		violations.add(`${name} sent while another command was in flight`);
	}

	return {
		...state,
		lastSentCopy: copy,
		copiesInFlight: [...state.copiesInFlight, copy],
		[name]: {...state[name], unsentCopy: undefined},
	};
}

/** Delivers a copy to the target and checks that no older command takes effect after a newer one. */
export function deliverCopy(
	state: ExplorationState,
	index: number,
	fencing: FencingSupport,
	violations: Set<string>,
): ExplorationState {
	const copy = state.copiesInFlight[index];
	const {fencingNumber} = copy.order;
	const accepted =
		fencing === 'ignores' || fencingNumber >= state.highestFencingNumber;
	const previous = state.lastAppliedCopy;
	// A late copy of the command applied last repeats its effect, so only other commands are compared.
	const isOtherCommand =
		previous !== undefined && previous.commandId !== copy.commandId;
	if (
		accepted &&
		isOtherCommand &&
		fencingNumber < previous.order.fencingNumber
	) {
		violations.add(`${copy.from} took effect after ${previous.from}`);
	}

	return {
		...state,
		copiesInFlight: state.copiesInFlight.toSpliced(index, 1),
		responses: [...state.responses, {...copy, accepted}],
		highestFencingNumber: Math.max(state.highestFencingNumber, fencingNumber),
		isLoaded: accepted ? isOrderApplied(copy.order, ['m']) : state.isLoaded,
		lastAppliedCopy: accepted ? copy : previous,
	};
}
