import {
	type Clock,
	type PlainService,
	ProblemError,
	type RandomSource,
	type Timers,
	type ServiceResponse,
	type ServiceCall,
	toProblem,
} from '../../common/index.js';
import {fullJitterMs} from './backoff.js';
import type {OutlierDetector} from './outlier-detector.js';
import type {RetryBudget} from './retry-budget.js';

/** A call that may be retried without a second effect. */
export type IdempotentCall = {
	readonly account: string;
	readonly service: string;
	readonly call: ServiceCall;
	/** Monotonic time at which the caller stops waiting, in milliseconds. */
	readonly deadlineMs: number;
};

export type ServiceCallerOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly budget: RetryBudget;
	readonly outliers: OutlierDetector;
	readonly maxAttempts: number;
	readonly backoffBaseMs: number;
	readonly backoffMaxMs: number;
	/**
	 * Chooses the target of an attempt; throws `not-run` or `unknown-service`.
	 * @param avoid - ids of targets to choose only if there is no other
	 */
	readonly chooseTarget: (
		service: string,
		avoid: ReadonlySet<string>,
	) => PlainService;
	readonly onRetry: (service: string) => void;
};

/** Sends idempotent calls to plain services and retries failed ones, within retry budget and deadline. */
export type ServiceCaller = {
	/**
	 * Sends a call until it succeeds or may not be retried.
	 * @returns the first successful response, or the last one if that is a server error
	 * @throws ProblemError `deadline-exceeded` or `target-unavailable`, with `retryAfterMs`, if the last
	 *   attempt got no response; errors of `chooseTarget`
	 */
	run(call: IdempotentCall): Promise<ServiceResponse>;
};

const firstServerErrorStatus = 500;
const statusNotImplemented = 501;

/** True for errors of a service, or of a proxy before it, that another target may not have. */
function isServerFailure(response: ServiceResponse): boolean {
	return (
		response.status >= firstServerErrorStatus &&
		response.status !== statusNotImplemented
	);
}

export function createServiceCaller(
	options: ServiceCallerOptions,
): ServiceCaller {
	const {clock, outliers, budget} = options;

	const send = async (
		{service, call, deadlineMs}: IdempotentCall,
		target: PlainService,
	): Promise<{response?: ServiceResponse; problem?: ProblemError}> => {
		const {id} = target.description;
		const startedMs = clock.nowMs();
		const timeoutMs = Math.max(
			1,
			Math.min(call.timeoutMs, deadlineMs - startedMs),
		);
		outliers.recordSent(id);
		try {
			const response = await target.call({...call, timeoutMs});
			outliers.recordResult(
				service,
				id,
				!isServerFailure(response),
				clock.nowMs() - startedMs,
			);
			return {response};
		} catch (error) {
			outliers.recordResult(service, id, false, clock.nowMs() - startedMs);
			return {problem: toProblem(error)};
		}
	};

	const wait = async (delayMs: number) =>
		new Promise<void>((resolve) => {
			options.timers.after(delayMs, resolve);
		});

	const finalProblem = (
		cause: ProblemError | undefined,
		isOutOfTime: boolean,
	) =>
		new ProblemError(
			isOutOfTime ? 'deadline-exceeded' : 'target-unavailable',
			isOutOfTime
				? 'the deadline has passed before a target answered'
				: 'no target answered the call',
			{cause, retryAfterMs: options.backoffMaxMs},
		);

	return {
		async run(request) {
			const {account, service, deadlineMs} = request;
			const tried = new Set<string>();
			let last: {response?: ServiceResponse; problem?: ProblemError} = {};
			for (let attempt = 1; ; attempt++) {
				const avoid = new Set([...tried, ...outliers.excluded(service)]);
				const target = options.chooseTarget(service, avoid);
				const {id} = target.description;
				if (attempt === 1) {
					budget.recordRequest(account, id);
				}

				last = await send(request, target);
				if (last.response && !isServerFailure(last.response)) {
					return last.response;
				}

				tried.add(id);
				const delayMs = fullJitterMs(
					options.random,
					attempt,
					options.backoffBaseMs,
					options.backoffMaxMs,
				);
				const isOutOfTime = clock.nowMs() + delayMs >= deadlineMs;
				if (
					isOutOfTime ||
					attempt >= options.maxAttempts ||
					!budget.tryTake(account, id)
				) {
					if (last.response) {
						return last.response;
					}

					throw finalProblem(last.problem, isOutOfTime);
				}

				options.onRetry(service);
				await wait(delayMs);
			}
		},
	};
}
