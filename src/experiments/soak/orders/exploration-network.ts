import type {FencingSupport} from '../../../common/index.js';
import {isOrderApplied} from '../../../decisions/leases/index.js';
import type {HolderName, ExplorationState} from './exploration-state.js';

/** A copy departs. */
export function sendCopy(
	world: ExplorationState,
	name: HolderName,
	fencing: FencingSupport,
	violations: Set<string>,
): ExplorationState {
	const copy = world[name].unsentCopy!;
	const before = world.lastSentCopy;
	const isOlder =
		before !== undefined &&
		before.from !== name &&
		copy.order.fencingNumber < before.order.fencingNumber;
	if (isOlder && fencing === 'ignores') {
		violations.add(`${name} sent after ${before.from} had sent`);
	}

	const overtakes = world.copiesInFlight.some(
		(one) =>
			one.order.kind !== copy.order.kind &&
			world[one.from].processState !== 'crashed',
	);
	if (overtakes && fencing === 'ignores') {
		violations.add(`${name} sent while another command was under way`);
	}

	return {
		...world,
		lastSentCopy: copy,
		copiesInFlight: [...world.copiesInFlight, copy],
		[name]: {...world[name], leaving: undefined},
	};
}

/** A copy arrives at the target. */
export function deliverCopy(
	world: ExplorationState,
	index: number,
	fencing: FencingSupport,
	violations: Set<string>,
): ExplorationState {
	const copy = world.copiesInFlight[index];
	const {fencingNumber} = copy.order;
	const accepted =
		fencing === 'ignores' || fencingNumber >= world.highestFencingNumber;
	const before = world.lastAppliedCopy;
	// A late copy of the same command changes nothing; one of another command would.
	const differs = before !== undefined && before.commandId !== copy.commandId;
	if (accepted && differs && fencingNumber < before.order.fencingNumber) {
		violations.add(`${copy.from} took effect after ${before.from}`);
	}

	return {
		...world,
		copiesInFlight: world.copiesInFlight.toSpliced(index, 1),
		responses: [...world.responses, {...copy, accepted}],
		highestFencingNumber: Math.max(world.highestFencingNumber, fencingNumber),
		isLoaded: accepted ? isOrderApplied(copy.order, ['m']) : world.isLoaded,
		lastAppliedCopy: accepted ? copy : before,
	};
}
