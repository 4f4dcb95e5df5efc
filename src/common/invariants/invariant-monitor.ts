import {createEmitter, type Event} from '../base/index.js';
import {ProblemError} from '../errors/index.js';
import type {InvariantName} from './types.js';

/** A promise that did not hold. */
export type InvariantViolation = {
	readonly name: InvariantName;
	readonly detail: string;
};

/** Checks promises while the program runs and counts how often each was put to the test. */
export type InvariantMonitor = {
	readonly checks: ReadonlyMap<InvariantName, number>;
	readonly violations: readonly InvariantViolation[];
	readonly onViolation: Event<InvariantViolation>;
	/**
	 * Counts a check.
	 * @param holds - whether the promise holds here
	 * @param detail - describes the case; called only if it does not hold
	 */
	check(name: InvariantName, holds: boolean, detail: () => string): void;
	/** Counts checks that held and were made outside, on paths too hot for a call each. */
	countPassed(name: InvariantName, by: number): void;
	/**
	 * Like `check`, but stops the step that would break the promise.
	 * @throws ProblemError `promise-violated`
	 */
	enforce(name: InvariantName, holds: boolean, detail: () => string): void;
};

const keptViolations = 100;

/** Creates a monitor without checks. */
export function createInvariantMonitor(): InvariantMonitor {
	const checks = new Map<InvariantName, number>();
	const violations: InvariantViolation[] = [];
	const emitter = createEmitter<InvariantViolation>();

	const check = (name: InvariantName, holds: boolean, detail: () => string) => {
		checks.set(name, (checks.get(name) ?? 0) + 1);
		if (!holds) {
			const violation = {name, detail: detail()};
			if (violations.length < keptViolations) {
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
