import type {ProblemError} from '../../../common/index.js';
import {type SoakContext, SoakScenario} from '../soak-scenario.js';
import {
	createRoutingEngines,
	createRoutingVms,
	killEngine,
	createLoadReport,
	type RoutingAccount,
	routingContracts,
} from './routing-fleet.js';
import {
	type RoutingStep,
	routingPlans,
	type TimedRoutingStep,
} from './routing-plan.js';

type RoutedRequest = {
	readonly id: number;
	readonly account: RoutingAccount;
	isPlaced: boolean;
	isRefused: boolean;
	isWithdrawn: boolean;
};

const vmCount = 3;
const engineIds = ['engine-0', 'engine-1', 'engine-2'];
const minuteMs = 60_000;
const runMs = 170_000;
const tickIntervalMs = 50;
const exchangeIntervalMs = 1000;
const steadyStreamCount = 6;
const steadyTokens = 60;
const retryDelayMs = 1000;
const networkDelayMs = 5;
const modelName = 'model';

// After the loss of an engine its minute and the next hold less than the engines can carry.
const recoveryMs = 60_000;

/** Floods, killed engines, lagging reports and cut peers around an account with a floor. */
export class RoutingScenario extends SoakScenario<readonly TimedRoutingStep[]> {
	override readonly name = 'routing';
	override readonly plans = routingPlans;

	override async execute(
		plan: readonly TimedRoutingStep[],
		context: SoakContext,
	): Promise<void> {
		const {time, random, invariants} = context;
		const vms = createRoutingVms(vmCount, engineIds, context);
		const engines = createRoutingEngines(engineIds, context);
		const attempts: RoutedRequest[] = [];
		const waiting = new Map<RoutedRequest, {dispose(): void}>();
		const deliveredByMinute = new Map<number, number>();
		let reportsLagUntilMs = 0;
		let peersCutUntilMs = 0;
		let lastKillMs = Number.NEGATIVE_INFINITY;

		const submit = (
			account: RoutingAccount,
			tokens: number,
			onDone: (finished: boolean) => void,
		) => {
			const vm = vms[random.nextInt(vmCount)];
			const attempt: RoutedRequest = {
				id: attempts.length,
				account,
				isPlaced: false,
				isRefused: false,
				isWithdrawn: false,
			};
			attempts.push(attempt);
			context.countRequests();
			let chargedTo = 0;

			const onPlaced = (route: {
				targetId: string;
				generationId: string;
				priority: number;
			}) => {
				waiting.delete(attempt);
				invariants.check(
					'not-run',
					!attempt.isRefused && !attempt.isWithdrawn && !attempt.isPlaced,
					() => `attempt ${attempt.id} was placed after its answer`,
				);
				attempt.isPlaced = true;
				const engine = engines.get(route.targetId)!;
				time.after(networkDelayMs, () => {
					if (!engine.isUp) {
						vm.router.ended(route.generationId, 'lost', 0);
						onDone(false);
						return;
					}

					engine.start({
						id: route.generationId,
						promptTokens: 50 + (attempt.id % 100),
						outputTokens: tokens,
						priority: route.priority,
						finishReason: 'stop',
						account,
						onProgress(producedTokens) {
							if (account === 'steady') {
								const minute = Math.floor(time.wallMs() / minuteMs);
								const sum = deliveredByMinute.get(minute) ?? 0;
								deliveredByMinute.set(minute, sum + producedTokens - chargedTo);
								chargedTo = producedTokens;
							}

							vm.router.progressed(route.generationId, producedTokens);
						},
						onEnded(outcome, producedTokens) {
							vm.router.ended(route.generationId, outcome, producedTokens);
							onDone(outcome === 'finished');
						},
					});
				});
			};

			const onRefused = (problem: ProblemError) => {
				waiting.delete(attempt);
				invariants.check(
					'not-run',
					!attempt.isPlaced && !attempt.isRefused && !attempt.isWithdrawn,
					() => `attempt ${attempt.id} was refused after it was placed`,
				);
				attempt.isRefused = true;
				context.trace(`attempt ${attempt.id} of ${account}: ${problem.type}`);
				time.after(problem.retryAfterMs ?? retryDelayMs, () => {
					onDone(false);
				});
			};

			const registration = vm.router.submit(
				{
					account,
					requestClass: tokens > 200 ? 'long' : 'short',
					model: modelName,
					promptTokens: 50 + (attempt.id % 100),
					prefixHashes: [],
					maxTokens: 2000,
					delivery: 'whole',
				},
				{onPlaced, onRefused},
			);
			if (!attempt.isPlaced && !attempt.isRefused) {
				waiting.set(attempt, registration);
			}
		};

		/** Keeps one request of the account with the floor open at any time. */
		const keepOpen = () => {
			submit('steady', steadyTokens, () => {
				time.after(networkDelayMs, keepOpen);
			});
		};

		const every = (intervalMs: number, run: () => void) => {
			const repeat = () => {
				run();
				if (time.nowMs() < runMs) {
					time.after(intervalMs, repeat);
				}
			};

			time.after(intervalMs, repeat);
		};

		const exchange = () => {
			if (time.nowMs() >= reportsLagUntilMs) {
				for (const engine of engines.values()) {
					engine.report = createLoadReport(
						engine.simulation,
						Math.round(time.nowMs()),
					);
				}
			}

			for (const vm of vms) {
				for (const engine of engines.values()) {
					vm.router.engines.recordReport(
						engine.id,
						engine.report,
						time.nowMs(),
					);
				}

				if (time.nowMs() >= peersCutUntilMs) {
					const reports = vm.ledger.ownReports(time.wallMs());
					for (const peer of vms.filter((one) => one !== vm)) {
						peer.router.engines.recordActivity(
							vm.name,
							vm.router.engines.ownActivity(),
							time.nowMs(),
						);
						for (const [account, report] of reports) {
							peer.peerUsage.recordReport(
								vm.name,
								account,
								report,
								time.wallMs(),
							);
						}
					}
				}
			}
		};

		const execute = (step: RoutingStep) => {
			switch (step.kind) {
				case 'flood': {
					for (let index = 0; index < step.count; index++) {
						submit('flood', step.tokens, () => undefined);
					}

					break;
				}

				case 'kill': {
					const engine = engines.get(engineIds[step.engine])!;
					if ([...engines.values()].filter((one) => one.isUp).length > 1) {
						context.countFault('engine-killed');
						context.trace(`${engine.id} is killed`);
						lastKillMs = time.nowMs() + step.downMs;
						killEngine(engine);
						time.after(step.downMs, () => {
							engine.isUp = true;
						});
					}

					break;
				}

				case 'lag-reports': {
					context.countFault('report-lagged');
					reportsLagUntilMs = time.nowMs() + step.forMs;
					break;
				}

				case 'cut-peers': {
					context.countFault('peers-cut');
					peersCutUntilMs = time.nowMs() + step.forMs;
					break;
				}

				case 'withdraw': {
					const [first] = waiting;
					if (first) {
						context.countFault('caller-left');
						const [attempt, registration] = first;
						attempt.isWithdrawn = true;
						waiting.delete(attempt);
						registration.dispose();
						if (attempt.account === 'steady') {
							time.after(retryDelayMs, keepOpen);
						}
					}

					break;
				}
			}
		};

		const checkMinute = (minute: number) => {
			const delivered = deliveredByMinute.get(minute) ?? 0;
			const troubled = time.nowMs() - lastKillMs < minuteMs + recoveryMs;
			invariants.check(
				'contract-floor',
				troubled || delivered >= routingContracts.steady.floorTokensPerMinute,
				() =>
					`minute ${minute}: ${delivered} tokens, the floor is ${routingContracts.steady.floorTokensPerMinute}`,
			);
		};

		exchange();
		for (let index = 0; index < steadyStreamCount; index++) {
			keepOpen();
		}

		every(tickIntervalMs, () => {
			for (const vm of vms) {
				vm.router.tick();
			}
		});
		every(exchangeIntervalMs, exchange);
		for (const {atMs, step} of plan) {
			time.after(atMs, () => {
				execute(step);
			});
		}

		const firstMinute = Math.floor(time.wallMs() / minuteMs) + 1;
		const firstEndMs = minuteMs - (time.wallMs() % minuteMs) + minuteMs;
		for (let index = 0; firstEndMs + index * minuteMs <= runMs; index++) {
			time.after(firstEndMs + index * minuteMs, () => {
				checkMinute(firstMinute + index);
			});
		}

		await time.runUntil(runMs);
		for (const attempt of attempts) {
			invariants.check(
				'not-run',
				!(attempt.isRefused && attempt.isPlaced),
				() => `attempt ${attempt.id} was refused and ran`,
			);
		}
	}
}
