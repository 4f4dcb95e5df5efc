import {createEmitter, type Event} from '../base/index.js';
import {ProblemError} from '../errors/index.js';
import type {InvariantName} from './types.js';

/** A failed check of an invariant. */
export type InvariantViolation = {
	readonly name: InvariantName;
	readonly detail: string;
};

/** Checks invariants at run time and counts the checks of each. */
export type InvariantMonitor = {
	readonly checks: ReadonlyMap<InvariantName, number>;
	/** The first violations, up to a limit. */
	readonly violations: readonly InvariantViolation[];
	readonly onViolation: Event<InvariantViolation>;
	/**
	 * Records a check, and a violation if it failed.
	 * @param holds - whether the invariant holds
	 * @param detail - describes the violation; called only if `holds` is false
	 */
	check(name: InvariantName, holds: boolean, detail: () => string): void;
	/** Counts passed checks that the caller made itself, where a call for each would cost too much. */
	countPassed(name: InvariantName, by: number): void;
	/**
	 * Like `check`, but throws if the invariant does not hold, which prevents the step that would violate it.
	 * @throws ProblemError `promise-violated`
	 */
	enforce(name: InvariantName, holds: boolean, detail: () => string): void;
};

const maxViolations = 100;

export function createInvariantMonitor(): InvariantMonitor {
	const checks = new Map<InvariantName, number>();
	const violations: InvariantViolation[] = [];
	const emitter = createEmitter<InvariantViolation>();

	const check = (name: InvariantName, holds: boolean, detail: () => string) => {
		checks.set(name, (checks.get(name) ?? 0) + 1);
		if (!holds) {
			const violation = {name, detail: detail()};
			if (violations.length < maxViolations) {
				violations.push(violation);
			}

			emitter.fire(violation);
		}
	};

	return {
		checks,
		violations,
		onViolation: emitter.event,
		check,
		countPassed(name, by) {
			checks.set(name, (checks.get(name) ?? 0) + by);
		},
		enforce(name, holds, detail) {
			check(name, holds, detail);
			if (!holds) {
				throw new ProblemError('promise-violated', `${name}: ${detail()}`);
			}
		},
	};
}
