import fc from 'fast-check';

/** A fault or a burst of requests. */
export type RoutingStep =
	| {readonly kind: 'flood'; readonly count: number; readonly tokens: number}
	| {readonly kind: 'kill'; readonly engine: number; readonly downMs: number}
	| {readonly kind: 'lag-reports'; readonly forMs: number}
	| {readonly kind: 'cut-peers'; readonly forMs: number}
	| {readonly kind: 'withdraw'};

/** A step and the virtual time at which it is executed, in milliseconds. */
export type TimedRoutingStep = {
	readonly atMs: number;
	readonly step: RoutingStep;
};

const lastStepMs = 160_000;
const engineCount = 3;

/** Generator of the plans of the routing scenario. */
export const routingPlans = fc.array(
	fc.record({
		atMs: fc.nat(lastStepMs),
		step: fc.oneof(
			fc.record({
				kind: fc.constant('flood' as const),
				count: fc.integer({min: 10, max: 120}),
				tokens: fc.integer({min: 5, max: 1500}),
			}),
			fc.record({
				kind: fc.constant('kill' as const),
				engine: fc.nat(engineCount - 1),
				downMs: fc.integer({min: 500, max: 20_000}),
			}),
			fc.record({
				kind: fc.constant('lag-reports' as const),
				forMs: fc.integer({min: 1000, max: 30_000}),
			}),
			fc.record({
				kind: fc.constant('cut-peers' as const),
				forMs: fc.integer({min: 1000, max: 30_000}),
			}),
			fc.record({kind: fc.constant('withdraw' as const)}),
		),
	}),
	{minLength: 4, maxLength: 16},
);
