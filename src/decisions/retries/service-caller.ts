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

/** A call that may be repeated without a second effect. */
export type IdempotentCall = {
	readonly account: string;
	readonly service: string;
	readonly call: ServiceCall;
	/** Monotonic time at which the caller stops waiting, in milliseconds. */
	readonly deadlineMs: number;
};

/** What the caller needs. */
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
	 * Chooses a target; throws `not-run` or `unknown-service`.
	 * @param avoid - ids of targets to choose only if there is no other
	 */
	readonly chooseTarget: (
		service: string,
		avoid: ReadonlySet<string>,
	) => PlainService;
	readonly onRetry: (service: string) => void;
};

/** Sends idempotent calls to plain services and repeats those that fail, within budgets and deadlines. */
export type ServiceCaller = {
	/** Rejects with a problem that says when to ask again. */
	run(call: IdempotentCall): Promise<ServiceResponse>;
};

const firstServerErrorStatus = 500;
const statusNotImplemented = 501;

/** Answers of a failing service or of a proxy before it; the same call may succeed elsewhere. */
function isServerFailure(answer: ServiceResponse): boolean {
	return (
		answer.status >= firstServerErrorStatus &&
		answer.status !== statusNotImplemented
	);
}

/** Creates the caller. */
export function createServiceCaller(
	options: ServiceCallerOptions,
): ServiceCaller {
	const {clock, outliers, budget} = options;

	const send = async (
		{service, call, deadlineMs}: IdempotentCall,
		target: PlainService,
	): Promise<{answer?: ServiceResponse; problem?: ProblemError}> => {
		const {id} = target.description;
		const startedMs = clock.nowMs();
		const timeoutMs = Math.max(
			1,
			Math.min(call.timeoutMs, deadlineMs - startedMs),
		);
		outliers.recordSent(id);
		try {
			const answer = await target.call({...call, timeoutMs});
			outliers.recordResult(
				service,
				id,
				!isServerFailure(answer),
				clock.nowMs() - startedMs,
			);
			return {answer};
		} catch (error) {
			outliers.recordResult(service, id, false, clock.nowMs() - startedMs);
			return {problem: toProblem(error)};
		}
	};

	const wait = async (delayMs: number) =>
		new Promise<void>((resolve) => {
			options.timers.after(delayMs, resolve);
		});

	const finalProblem = (cause: ProblemError | undefined, late: boolean) =>
		new ProblemError(
			late ? 'deadline-exceeded' : 'target-unavailable',
			late
				? 'the deadline has passed before a target answered'
				: 'no target answered the call',
			{cause, retryAfterMs: options.backoffMaxMs},
		);

	return {
		async run(request) {
			const {account, service, deadlineMs} = request;
			const tried = new Set<string>();
			let last: {answer?: ServiceResponse; problem?: ProblemError} = {};
			for (let attempt = 1; ; attempt++) {
				const avoid = new Set([...tried, ...outliers.excluded(service)]);
				const target = options.chooseTarget(service, avoid);
				const {id} = target.description;
				if (attempt === 1) {
					budget.recordRequest(account, id);
				}

				last = await send(request, target);
				if (last.answer && !isServerFailure(last.answer)) {
					return last.answer;
				}

				tried.add(id);
				const delayMs = fullJitterMs(
					options.random,
					attempt,
					options.backoffBaseMs,
					options.backoffMaxMs,
				);
				const late = clock.nowMs() + delayMs >= deadlineMs;
				if (
					late ||
					attempt >= options.maxAttempts ||
					!budget.tryTake(account, id)
				) {
					if (last.answer) {
						return last.answer;
					}

					throw finalProblem(last.problem, late);
				}

				options.onRetry(service);
				await wait(delayMs);
			}
		},
	};
}
