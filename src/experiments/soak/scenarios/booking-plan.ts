import fc from 'fast-check';
import {commitFaults, tableFaultModes} from './table-faults.js';

/** Number of entry VMs in the scenario. */
export const bookingVmCount = 3;
const keyCount = 4;

const vm = fc.nat(bookingVmCount - 1);
const key = fc.nat(keyCount - 1);
const lengthMs = fc.integer({min: 20, max: 1500});

const call = fc.record({
	kind: fc.constant('call' as const),
	vm,
	key,
	variant: fc.constantFrom(0, 0, 0, 0, 0, 1),
	timeoutMs: fc.constantFrom(60, 300, 800, 2000),
});

const steps = fc.oneof(
	{arbitrary: call, weight: 10},
	{
		arbitrary: fc.record({
			kind: fc.constant('process' as const),
			vm,
			stepsAhead: fc.nat(12),
			fault: fc.constantFrom('crash' as const, 'pause' as const),
			pauseMs: fc.integer({min: 20, max: 5000}),
		}),
		weight: 3,
	},
	{
		arbitrary: fc.record({
			kind: fc.constant('commit' as const),
			fault: commitFaults,
			delayMs: fc.integer({min: 1, max: 3000}),
		}),
		weight: 3,
	},
	{
		arbitrary: fc.record({
			kind: fc.constant('target' as const),
			fault: fc.constantFrom(
				'answer-lost' as const,
				'refused' as const,
				'slow' as const,
				'hanging' as const,
				'late-effect' as const,
			),
			delayMs: fc.integer({min: 1, max: 6000}),
		}),
		weight: 2,
	},
	fc.record({
		kind: fc.constant('table' as const),
		mode: tableFaultModes,
		lengthMs,
		extraMs: fc.integer({min: 10, max: 400}),
	}),
	fc.record({kind: fc.constant('restart' as const), vm}),
	fc.record({kind: fc.constant('peers' as const), lengthMs}),
	fc.record({kind: fc.constant('objects' as const), lengthMs}),
	fc.record({kind: fc.constant('corrupt' as const), key}),
	fc.record({kind: fc.constant('sweep' as const), vm: fc.nat(1)}),
);

/** Generator of the plans of the booking scenario. */
export const bookingPlans = fc.record({
	answersOutcomes: fc.boolean(),
	// Whether every response is stored in the object store instead of its row, as large ones are.
	largeAnswers: fc.boolean(),
	steps: fc.array(
		fc.record({
			afterMs: fc.constantFrom(0, 0, 1, 3, 8, 20, 60, 300),
			step: steps,
		}),
		{minLength: 15, maxLength: 60},
	),
	// The last property, so that the rest of the plan that a seed generates does not depend on it.
	settles: fc.boolean(),
});

/** Plan of one run: its options and its timed calls and faults. */
export type BookingPlan =
	typeof bookingPlans extends fc.Arbitrary<infer T> ? T : never;

/** One call or fault of a plan. */
export type BookingStep = BookingPlan['steps'][number]['step'];
