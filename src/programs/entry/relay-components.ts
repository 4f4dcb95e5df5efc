import {
	createRelayMetricsRegistry,
	type Metrics,
	SystemTimers,
} from '../../adapters/system/index.js';
import {
	type Clock,
	createInvariantMonitor,
	type InvariantMonitor,
	type PlainService,
	type RandomSource,
} from '../../common/index.js';
import type {ExplainLog} from '../../decisions/explain/index.js';
import {
	createOutlierDetector,
	createRetryBudget,
	createServiceCaller,
	type OutlierDetector,
	type ServiceCaller,
} from '../../decisions/retries/index.js';
import {
	createByteBudget,
	createPendingCancellations,
	type GenerationPlacer,
	type RelayMetrics,
	type RelayContext,
} from '../../decisions/streams/index.js';
import type {RelaySettings} from './relay-settings.js';

/** The relay's and the service caller's parts of an entry daemon. */
export type RelayComponents = {
	readonly relay: RelayContext;
	readonly invariants: InvariantMonitor;
	readonly metricsFor: (account: string, requestClass: string) => RelayMetrics;
	readonly serviceCaller: ServiceCaller;
	readonly outliers: OutlierDetector;
};

/** What the parts need. */
export type RelayComponentsOptions = {
	readonly settings: RelaySettings;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	readonly placer: GenerationPlacer;
	readonly chooseTarget: (
		service: string,
		avoid: ReadonlySet<string>,
	) => PlainService;
	readonly onTargetLeaving: (targetId: string) => void;
	readonly onUnexpected: (error: unknown) => void;
	readonly explainLog: ExplainLog;
};

const maxClassesOfAccount = 32;

// One retry for ten requests, and enough saved up for the loss of one target.
const retriesPerRequest = 0.1;
const retriesPerSecond = 1;
const maxSavedRetries = 50;

const outlierLimits = {
	maxFailures: 3,
	slowFactor: 5,
	slowMinMs: 100,
	ejectionMs: 2000,
	maxEjectionMs: 30_000,
	maxEjectedFraction: 0.5,
};
const callBackoff = {backoffBaseMs: 25, backoffMaxMs: 1000};

/** Wires the relay and the service caller together. */
export function createRelayComponents(
	options: RelayComponentsOptions,
): RelayComponents {
	const {settings, clock, random, metrics, placer} = options;
	const timers = new SystemTimers();
	const explain = (kind: string, subject: string, cause: string) => {
		const atWallMs = clock.wallMs();
		const result = kind === 'retry' ? 'called again' : 'left out for a while';
		options.explainLog.add({atWallMs, kind, subject, cause, result});
	};

	const invariants = createInvariantMonitor();
	const budget = createRetryBudget({
		clock,
		retriesPerRequest,
		retriesPerSecond,
		bucketCapacity: maxSavedRetries,
	});
	invariants.onViolation(({name}) => {
		metrics.count('violations', {name});
	});
	const outliers = createOutlierDetector({
		...outlierLimits,
		clock,
		onEjected(targetId) {
			metrics.count('ejections', {target: targetId});
			explain('ejection', targetId, 'its calls failed or were slow');
		},
	});
	return {
		invariants,
		outliers,
		metricsFor: createRelayMetricsRegistry(metrics, maxClassesOfAccount),
		relay: {
			placer,
			clock,
			timers,
			random,
			invariants,
			limits: settings.limits,
			bufferBudget: createByteBudget(settings.limits.maxDaemonBufferBytes),
			restartBudget: budget,
			cancellations: createPendingCancellations(timers),
			onTargetLeaving: options.onTargetLeaving,
			onUnexpected: options.onUnexpected,
		},
		serviceCaller: createServiceCaller({
			...callBackoff,
			clock,
			timers,
			random,
			budget,
			outliers,
			maxAttempts: settings.maxCallAttempts,
			chooseTarget: options.chooseTarget,
			onRetry(service) {
				metrics.count('call_retries', {service});
				explain('retry', `service:${service}`, 'an idempotent call failed');
			},
		}),
	};
}
