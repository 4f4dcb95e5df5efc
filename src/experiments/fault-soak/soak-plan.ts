import fc from 'fast-check';
import type {StreamFault} from '../../platform/testing/index.js';
import type {LinkFault} from './proxied-connection.js';

/** Links that pass through a proxy: of callers to a VM, a VM to the store, VMs to a target. */
export type LinkName = 'caller' | 'store' | 'target';

/** Fault or change that a step of a plan causes. */
export type StepAction =
	| {
			readonly type: 'link';
			readonly link: LinkName;
			readonly fault: LinkFault;
	  }
	| {
			readonly type: 'vm';
			readonly action:
				'kill' | 'kill-all' | 'pause' | 'reload' | 'stop' | 'stop-twice';
	  }
	| {readonly type: 'store'; readonly action: 'forget' | 'refuse'}
	| {
			readonly type: 'service';
			readonly mode: 'failing' | 'losing-answers' | 'refusing' | 'slow';
	  }
	| {readonly type: 'target'; readonly action: 'crash' | 'leave'}
	| {readonly type: 'configuration'; readonly versions: number}
	/** A target names a rate limit. */
	| {readonly type: 'rate-limit'; readonly requestsPerSecond: number}
	/** A target says in its responses that it leaves, or turns requests away for a time. */
	| {readonly type: 'statement'; readonly statement: 'back-off' | 'leaving'}
	/** Engines end under a part of some prompts, after some events; before the first by default. */
	| {readonly type: 'crashing-part'; readonly eventsBefore?: number}
	/** The streams of an engine are damaged, or do not end; or all engines drop them. */
	| {readonly type: 'stream'; readonly fault: StreamFault}
	/** Another writer leaves entries among those of the targets that name none. */
	| {readonly type: 'odd-entries'};

/** A fault or change with its time and place. */
export type SoakStep = {
	/** Start, measured from the beginning of the fault phase. */
	readonly atMs: number;
	/** Duration, for faults that last. */
	readonly forMs: number;
	/**
	 * Index of the VM or target affected, modulo their number. For modes of plain services, even
	 * values affect all of them, odd values those from the index on.
	 */
	readonly selector: number;
	readonly action: StepAction;
};

/** Size of the fleet and steps of a run. */
export type SoakPlan = {
	readonly vmCount: number;
	readonly steps: readonly SoakStep[];
};

/** Duration of the phase in which steps start, in milliseconds. */
export const faultPhaseMs = 7000;
const maxFaultMs = 2500;
const maxSelector = 1000;

const faults = [
	'delay',
	'cut-forward',
	'cut-backward',
	'silence',
	'reset',
] as const;

const action: fc.Arbitrary<StepAction> = fc.oneof(
	{
		weight: 4,
		arbitrary: fc.record({
			type: fc.constant('link' as const),
			link: fc.constantFrom<LinkName>('caller', 'store', 'target'),
			fault: fc.constantFrom<LinkFault>(...faults),
		}),
	},
	{
		weight: 4,
		arbitrary: fc.record({
			type: fc.constant('vm' as const),
			action: fc.constantFrom(
				'kill' as const,
				'kill-all' as const,
				'pause' as const,
				'reload' as const,
				'stop' as const,
				'stop' as const,
			),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('store' as const),
			action: fc.constantFrom('forget' as const, 'refuse' as const),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			type: fc.constant('service' as const),
			mode: fc.constantFrom(
				'failing' as const,
				'losing-answers' as const,
				'refusing' as const,
				'slow' as const,
			),
		}),
	},
	{
		weight: 4,
		arbitrary: fc.record({
			type: fc.constant('target' as const),
			action: fc.constantFrom(
				'crash' as const,
				'leave' as const,
				'leave' as const,
			),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			type: fc.constant('configuration' as const),
			versions: fc.integer({min: 1, max: 5}),
		}),
	},
);

/** Generates plans; their steps may overlap and repeat. */
export const soakPlans: fc.Arbitrary<SoakPlan> = fc.record({
	vmCount: fc.integer({min: 2, max: 4}),
	steps: fc.array(
		fc.record({
			atMs: fc.integer({min: 0, max: faultPhaseMs}),
			forMs: fc.integer({min: 50, max: maxFaultMs}),
			selector: fc.nat({max: maxSelector}),
			action,
		}),
		{minLength: 3, maxLength: 9},
	),
});

/** Generates the steps in which targets name rate limits; long enough for all VMs to learn of them. */
const rateLimitSteps: fc.Arbitrary<readonly SoakStep[]> = fc.array(
	fc.record({
		atMs: fc.integer({min: 0, max: 2500}),
		forMs: fc.integer({min: 4500, max: faultPhaseMs}),
		selector: fc.nat({max: maxSelector}),
		action: fc.record({
			type: fc.constant('rate-limit' as const),
			requestsPerSecond: fc.integer({min: 1, max: 8}),
		}),
	}),
	{maxLength: 2},
);

/** Generates the steps in which targets say something of themselves, engines end under a part, or entries are odd. */
const targetSteps: fc.Arbitrary<readonly SoakStep[]> = fc.array(
	fc.record({
		atMs: fc.integer({min: 1000, max: 4000}),
		forMs: fc.integer({min: 1500, max: faultPhaseMs}),
		selector: fc.nat({max: maxSelector}),
		action: fc.oneof(
			fc.record({
				type: fc.constant('statement' as const),
				statement: fc.constantFrom('back-off' as const, 'leaving' as const),
			}),
			fc.constant({type: 'crashing-part' as const}),
			fc.constant({type: 'odd-entries' as const}),
		),
	}),
	{maxLength: 2},
);

/** Generates the steps in which streams are spoiled, engines end after some events, or stop signals are repeated. */
const answerSteps: fc.Arbitrary<readonly SoakStep[]> = fc.array(
	fc.record({
		atMs: fc.integer({min: 500, max: 5000}),
		forMs: fc.integer({min: 500, max: 3000}),
		selector: fc.nat({max: maxSelector}),
		action: fc.oneof(
			fc.record({
				type: fc.constant('stream' as const),
				fault: fc.constantFrom('damaged' as const, 'endless' as const),
			}),
			fc.record({
				type: fc.constant('crashing-part' as const),
				eventsBefore: fc.integer({min: 1, max: 6}),
			}),
			fc.constant({type: 'vm' as const, action: 'stop-twice' as const}),
		),
	}),
	{maxLength: 2},
);

/** Generates the steps in which engines drop runs as they begin. */
const dropSteps: fc.Arbitrary<readonly SoakStep[]> = fc.array(
	fc.record({
		atMs: fc.integer({min: 500, max: 5000}),
		forMs: fc.integer({min: 300, max: 1500}),
		selector: fc.constant(0),
		action: fc.constant({type: 'stream', fault: 'dropped'} as const),
	}),
	{maxLength: 2},
);

/**
 * Derives the plan of a run from its seed. The kinds of steps that were added later are drawn apart, so that
 * the other steps of a seed remain as they were.
 */
export function planOf(seed: number): SoakPlan {
	const [plan] = fc.sample(soakPlans, {seed, numRuns: 1});
	const [limits] = fc.sample(rateLimitSteps, {seed, numRuns: 1});
	const [others] = fc.sample(targetSteps, {seed, numRuns: 1});
	const [answers] = fc.sample(answerSteps, {seed, numRuns: 1});
	const [drops] = fc.sample(dropSteps, {seed, numRuns: 1});
	const added = [...limits, ...others, ...answers, ...drops];
	return {...plan, steps: [...plan.steps, ...added]};
}
