import fc from 'fast-check';
import type {LinkFault} from './proxied-connection.js';

/** Links that a proxy stands in. */
export type LinkName = 'caller' | 'store' | 'target';

/** What a step of a plan does. */
export type StepAction =
	| {
			readonly type: 'link';
			readonly link: LinkName;
			readonly fault: LinkFault;
	  }
	| {
			readonly type: 'vm';
			readonly action: 'kill' | 'kill-all' | 'pause' | 'reload' | 'stop';
	  }
	| {readonly type: 'store'; readonly action: 'forget' | 'refuse'}
	| {
			readonly type: 'service';
			readonly mode: 'failing' | 'losing-answers' | 'refusing' | 'slow';
	  }
	| {readonly type: 'target'; readonly action: 'crash' | 'leave'}
	| {readonly type: 'configuration'; readonly versions: number};

/** A step of a plan. */
export type SoakStep = {
	/** Time from the start of the faults, in milliseconds. */
	readonly atMs: number;
	readonly forMs: number;
	/** Chooses among the VMs or targets, whatever their number. */
	readonly selector: number;
	readonly action: StepAction;
};

/** All that happens in a run. */
export type SoakPlan = {
	readonly vmCount: number;
	readonly steps: readonly SoakStep[];
};

/** Time in which steps begin, in milliseconds. */
export const faultPhaseMs = 7000;
const maxFaultMs = 2500;
const maxWhere = 1000;

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

/** Plans of a run, with steps that overlap and repeat. */
export const soakPlans: fc.Arbitrary<SoakPlan> = fc.record({
	vmCount: fc.integer({min: 2, max: 4}),
	steps: fc.array(
		fc.record({
			atMs: fc.integer({min: 0, max: faultPhaseMs}),
			forMs: fc.integer({min: 50, max: maxFaultMs}),
			selector: fc.nat({max: maxWhere}),
			action,
		}),
		{minLength: 3, maxLength: 9},
	),
});

/** The plan of a seed. */
export function planOf(seed: number): SoakPlan {
	return fc.sample(soakPlans, {seed, numRuns: 1})[0];
}
