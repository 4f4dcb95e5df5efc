import fc from 'fast-check';
import type {OrderFault} from '../../fakes/index.js';

/** Number of entry VMs in the simulation. */
export const vmCount = 3;
/** Number of targets in the simulation. */
export const targetCount = 5;

/** Models in the simulation; each needs at least one replica all the time. */
export const modelNames = ['sorter', 'inspector'] as const;

/** One step of a plan: a fault or a change of demand. The plan of a failing run is printed as it is. */
export type OrderStep = {
	/** Time since the previous step. */
	readonly afterMs: number;
} & (
	| {
			readonly kind: 'demand';
			readonly model: number;
			readonly tokensPerSecond: number;
	  }
	| {readonly kind: 'crash'; readonly vm: number}
	| {readonly kind: 'pause'; readonly vm: number; readonly pauseMs: number}
	| {
			/** Pauses the VM that sends the next command directly before sending; crashes it if `pauseMs` is undefined. */
			readonly kind: 'fault-at-send';
			readonly pauseMs: number | undefined;
	  }
	| {
			readonly kind: 'order-fault';
			readonly target: number;
			readonly fault: OrderFault;
	  }
	| {
			readonly kind: 'commit-fault';
			readonly fault: 'answer-lost' | 'late-effect' | 'no-effect';
			readonly delayMs: number;
	  }
	| {
			/** The table is unreachable; if `silent`, calls time out instead of being refused. */
			readonly kind: 'outage';
			readonly silent: boolean;
			readonly lengthMs: number;
	  }
	| {readonly kind: 'stale-list'; readonly lengthMs: number}
	| {readonly kind: 'peers-cut'; readonly lengthMs: number}
	| {readonly kind: 'report-lag'; readonly lagMs: number}
);

const vmIndex = fc.nat(vmCount - 1);
const pauseMs = fc.integer({min: 3000, max: 25_000});
const lengthMs = fc.integer({min: 1000, max: 15_000});

// Time for which a copy stays in flight after its call has ended. The maximum has to stay below the
// lease setting lateCopyMs, which is the bound that the coordinator relies on.
const copyDelayMs = fc.integer({min: 1000, max: 18_000});

const afterMs = fc.oneof(
	{weight: 1, arbitrary: fc.constant(0)},
	{weight: 3, arbitrary: fc.integer({min: 0, max: 9000})},
);

const demandStep = fc.record({
	kind: fc.constant('demand' as const),
	afterMs,
	model: fc.nat(modelNames.length - 1),
	tokensPerSecond: fc.constantFrom(0, 60, 150, 250, 350, 450),
});

const orderFaultStep = fc.record({
	kind: fc.constant('order-fault' as const),
	afterMs,
	target: fc.nat(targetCount - 1),
	fault: fc.record({
		kind: fc.constantFrom(
			'delayed' as const,
			'lost' as const,
			'answer-lost' as const,
			'duplicated' as const,
		),
		delayMs: copyDelayMs,
	}),
});

const faultStep = fc.oneof(
	fc.record({kind: fc.constant('crash' as const), afterMs, vm: vmIndex}),
	fc.record({
		kind: fc.constant('pause' as const),
		afterMs,
		vm: vmIndex,
		pauseMs,
	}),
	fc.record({
		kind: fc.constant('fault-at-send' as const),
		afterMs,
		pauseMs: fc.option(pauseMs, {nil: undefined, freq: 4}),
	}),
	orderFaultStep,
	orderFaultStep,
	fc.record({
		kind: fc.constant('commit-fault' as const),
		afterMs,
		fault: fc.constantFrom(
			'answer-lost' as const,
			'late-effect' as const,
			'no-effect' as const,
		),
		delayMs: fc.integer({min: 500, max: 12_000}),
	}),
	fc.record({
		kind: fc.constant('outage' as const),
		afterMs,
		silent: fc.boolean(),
		lengthMs,
	}),
	fc.record({kind: fc.constant('stale-list' as const), afterMs, lengthMs}),
	fc.record({kind: fc.constant('peers-cut' as const), afterMs, lengthMs}),
	fc.record({
		kind: fc.constant('report-lag' as const),
		afterMs,
		lagMs: fc.integer({min: 0, max: 4000}),
	}),
);

/** Generates plans that change the demand while faults happen, some of them at the same time. */
export const orderPlans: fc.Arbitrary<readonly OrderStep[]> = fc.array(
	fc.oneof(
		{weight: 2, arbitrary: demandStep},
		{weight: 3, arbitrary: faultStep},
	),
	{minLength: 15, maxLength: 45},
);
