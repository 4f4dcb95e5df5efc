import type {FencingSupport} from '../../../common/index.js';
import {isOrderApplied} from '../../../decisions/leases/index.js';
import type {Name, World} from './exploration-world.js';

/** A copy departs. */
export function departCopy(
	world: World,
	name: Name,
	fencing: FencingSupport,
	violations: Set<string>,
): World {
	const copy = world[name].leaving!;
	const before = world.lastDeparture;
	const isOlder =
		before !== undefined &&
		before.from !== name &&
		copy.order.fencingNumber < before.order.fencingNumber;
	if (isOlder && fencing === 'ignores') {
		violations.add(`${name} sent after ${before.from} had sent`);
	}

	const overtakes = world.network.some(
		(one) =>
			one.order.kind !== copy.order.kind &&
			world[one.from].condition !== 'crashed',
	);
	if (overtakes && fencing === 'ignores') {
		violations.add(`${name} sent while another command was under way`);
	}

	return {
		...world,
		lastDeparture: copy,
		network: [...world.network, copy],
		[name]: {...world[name], leaving: undefined},
	};
}

/** A copy arrives at the target. */
export function arriveCopy(
	world: World,
	index: number,
	fencing: FencingSupport,
	violations: Set<string>,
): World {
	const copy = world.network[index];
	const {fencingNumber} = copy.order;
	const accepted = fencing === 'ignores' || fencingNumber >= world.targetNumber;
	const before = world.lastEffect;
	// A late copy of the same command changes nothing; one of another command would.
	const differs = before !== undefined && before.commandId !== copy.commandId;
	if (accepted && differs && fencingNumber < before.order.fencingNumber) {
		violations.add(`${copy.from} took effect after ${before.from}`);
	}

	return {
		...world,
		network: world.network.toSpliced(index, 1),
		answers: [...world.answers, {...copy, accepted}],
		targetNumber: Math.max(world.targetNumber, fencingNumber),
		loaded: accepted ? isOrderApplied(copy.order, ['m']) : world.loaded,
		lastEffect: accepted ? copy : before,
	};
}
