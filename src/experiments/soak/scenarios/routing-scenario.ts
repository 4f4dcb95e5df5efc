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

/** A request that was submitted to the router of a VM. */
type RoutedRequest = {
	readonly id: number;
	readonly account: RoutingAccount;
	isPlaced: boolean;
	isRefused: boolean;
	/** Whether the caller disconnected while the request was queued. */
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

// The floor is not checked for minutes that begin before, or within this time after, the restart of a killed
// engine, since fewer tokens can be delivered in them.
const recoveryMs = 60_000;

/**
 * An account with a floor keeps its requests coming while another account floods the fleet, engines are killed,
 * reports lag and VMs cannot reach each other.
 */
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
		const requests: RoutedRequest[] = [];
		const queuedRequests = new Map<RoutedRequest, {dispose(): void}>();
		/** Tokens delivered to `steady` in each minute. */
		const deliveredByMinute = new Map<number, number>();
		let reportsLagUntilMs = 0;
		let peersCutUntilMs = 0;
		/** Time at which the engine that was killed last is up again. */
		let enginesUpAtMs = Number.NEGATIVE_INFINITY;

		const submit = (
			account: RoutingAccount,
			tokens: number,
			onDone: (finished: boolean) => void,
		) => {
			const vm = vms[random.nextInt(vmCount)];
			const request: RoutedRequest = {
				id: requests.length,
				account,
				isPlaced: false,
				isRefused: false,
				isWithdrawn: false,
			};
			requests.push(request);
			context.countRequests();
			let countedTokens = 0;

			const onPlaced = (route: {
				targetId: string;
				generationId: string;
				priority: number;
			}) => {
				queuedRequests.delete(request);
				invariants.check(
					'not-run',
					!request.isRefused && !request.isWithdrawn && !request.isPlaced,
					() =>
						`request ${request.id} was placed after it was placed, refused or withdrawn`,
				);
				request.isPlaced = true;
				const engine = engines.get(route.targetId)!;
				time.after(networkDelayMs, () => {
					if (!engine.isUp) {
						vm.router.ended(route.generationId, 'lost', 0);
						onDone(false);
						return;
					}

					engine.start({
						id: route.generationId,
						promptTokens: 50 + (request.id % 100),
						outputTokens: tokens,
						priority: route.priority,
						finishReason: 'stop',
						account,
						onProgress(producedTokens) {
							if (account === 'steady') {
								const minute = Math.floor(time.wallMs() / minuteMs);
								const sum = deliveredByMinute.get(minute) ?? 0;
								deliveredByMinute.set(
									minute,
									sum + producedTokens - countedTokens,
								);
								countedTokens = producedTokens;
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
				queuedRequests.delete(request);
				invariants.check(
					'not-run',
					!request.isPlaced && !request.isRefused && !request.isWithdrawn,
					() =>
						`request ${request.id} was refused after it was placed, refused or withdrawn`,
				);
				request.isRefused = true;
				context.trace(`request ${request.id} of ${account}: ${problem.type}`);
				time.after(problem.retryAfterMs ?? retryDelayMs, () => {
					onDone(false);
				});
			};

			const registration = vm.router.submit(
				{
					account,
					requestClass: tokens > 200 ? 'long' : 'short',
					model: modelName,
					promptTokens: 50 + (request.id % 100),
					prefixHashes: [],
					maxTokens: 2000,
					delivery: 'whole',
				},
				{onPlaced, onRefused},
			);
			if (!request.isPlaced && !request.isRefused) {
				queuedRequests.set(request, registration);
			}
		};

		/** Submits a request of the account with the floor, and another one whenever it ends. */
		const submitSteady = () => {
			submit('steady', steadyTokens, () => {
				time.after(networkDelayMs, submitSteady);
			});
		};

		const repeatEvery = (intervalMs: number, run: () => void) => {
			const repeat = () => {
				run();
				if (time.nowMs() < runMs) {
					time.after(intervalMs, repeat);
				}
			};

			time.after(intervalMs, repeat);
		};

		/** Delivers the engines' reports to all VMs, and the VMs' usage reports and activity to each other. */
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

		const executeStep = (step: RoutingStep) => {
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
						enginesUpAtMs = time.nowMs() + step.downMs;
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
					const [oldest] = queuedRequests;
					if (oldest) {
						context.countFault('caller-left');
						const [request, registration] = oldest;
						request.isWithdrawn = true;
						queuedRequests.delete(request);
						registration.dispose();
						if (request.account === 'steady') {
							time.after(retryDelayMs, submitSteady);
						}
					}

					break;
				}
			}
		};

		const checkMinute = (minute: number) => {
			const deliveredTokens = deliveredByMinute.get(minute) ?? 0;
			const isRecovering = time.nowMs() - enginesUpAtMs < minuteMs + recoveryMs;
			invariants.check(
				'contract-floor',
				isRecovering ||
					deliveredTokens >= routingContracts.steady.floorTokensPerMinute,
				() =>
					`minute ${minute}: ${deliveredTokens} tokens were delivered, the floor is ${routingContracts.steady.floorTokensPerMinute}`,
			);
		};

		exchange();
		for (let index = 0; index < steadyStreamCount; index++) {
			submitSteady();
		}

		repeatEvery(tickIntervalMs, () => {
			for (const vm of vms) {
				vm.router.tick();
			}
		});
		repeatEvery(exchangeIntervalMs, exchange);
		for (const {atMs, step} of plan) {
			time.after(atMs, () => {
				executeStep(step);
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
		for (const request of requests) {
			invariants.check(
				'not-run',
				!(request.isRefused && request.isPlaced),
				() => `request ${request.id} was refused, but ran`,
			);
		}
	}
}
