import {setMaxListeners} from 'node:events';
import {setTimeout as sleepFor} from 'node:timers/promises';
import type {Disposable} from '../../common/index.js';
import type {Disruption, Observations} from './observations.js';
import type {Operator} from './operator.js';
import {createRateLimitFault} from './rate-limit-fault.js';
import {soakBounds} from './soak-bounds.js';
import type {SoakFleet, SoakVm} from './soak-fleet.js';
import type {LinkName, SoakStep, StepAction} from './soak-plan.js';
import {soakServices, type SoakTarget} from './soak-targets.js';
import {createTargetFaults} from './target-faults.js';

/**
 * Applies the steps of a plan. Disposal cuts steps short with their faults left in place; only a
 * series of configuration writes runs on.
 */
export type FaultInjector = Disposable & {
	/** Starts the daemon of a VM and records this as a disruption. */
	start(vm: SoakVm): void;
	/** Waits for the start of a step and applies it; resolves when it is over. */
	apply(step: SoakStep): Promise<void>;
};

/** Action of a given type. */
type ActionOf<Type extends StepAction['type']> = Extract<
	StepAction,
	{readonly type: Type}
>;

/** Time after a stop signal at which it is repeated, in milliseconds. */
const secondSignalDelayMs = 600;
/** Delay after which the entry of a crashed target is removed, in milliseconds. */
const entryRemovalDelayMs = 1200;
/** Time for which leaving targets keep serving beyond the drain time, in milliseconds. */
const extraServingMs = 1500;

/** Creates an injector for a fleet; it records the disruptions that it causes. */
export function createFaultInjector(
	fleet: SoakFleet,
	operator: Operator,
	observations: Observations,
): FaultInjector {
	const {vms, targets, store} = fleet;
	const disposal = new AbortController();
	setMaxListeners(0, disposal.signal);
	const sleep = async (durationMs: number) =>
		sleepFor(durationMs, undefined, {signal: disposal.signal});

	/** Performs something that disposal cuts short. */
	const untilDisposed = async (perform: () => Promise<void>) => {
		try {
			await perform();
		} catch (error) {
			if (!disposal.signal.aborted) {
				throw error;
			}
		}
	};

	const rateLimitFault = createRateLimitFault(observations, sleep);

	/** Performs an action and records it as a disruption from its start to its end. */
	const disrupt = async (
		kind: string,
		vm: number | undefined,
		perform: () => Promise<void>,
	) => {
		const disruption: Disruption = {
			vm,
			kind,
			fromMs: performance.now(),
			untilMs: Infinity,
		};
		observations.disruptions.push(disruption);
		await perform();
		disruption.untilMs = performance.now();
	};

	const start = (vm: SoakVm) => {
		void disrupt('start', vm.index, async () => {
			vm.process.start();
		});
	};

	const proxyOf = (link: LinkName, selector: number) => {
		const vm = vms[selector % vms.length];
		switch (link) {
			case 'caller': {
				return {vm: vm.index, proxy: vm.callerProxy};
			}

			case 'store': {
				return {vm: vm.index, proxy: vm.storeProxy};
			}

			case 'target': {
				const {active} = targets;
				return {vm: undefined, proxy: active[selector % active.length].proxy};
			}
		}
	};

	const applyLinkFault = async (
		{fault, link: name}: ActionOf<'link'>,
		{selector, forMs}: SoakStep,
	) => {
		const {vm, proxy} = proxyOf(name, selector);
		await disrupt(`${name}-${fault}`, vm, async () => {
			proxy.setFault(fault);
			await sleep(forMs);
			proxy.setFault(undefined);
		});
	};

	const endAndRestart = async (
		vm: SoakVm,
		signal: 'SIGKILL' | 'SIGTERM',
		forMs: number,
	) =>
		disrupt(
			signal === 'SIGKILL' ? 'vm-kill' : 'vm-stop',
			vm.index,
			async () => {
				await vm.process.end(signal, soakBounds.stopGraceMs);
				await sleep(forMs);
				start(vm);
			},
		);

	const pause = async (vm: SoakVm, forMs: number) =>
		disrupt('vm-pause', vm.index, async () => {
			vm.process.signal('SIGSTOP');
			await sleep(forMs);
			vm.process.signal('SIGCONT');
		});

	const applyVmAction = async (
		{action}: ActionOf<'vm'>,
		{selector, forMs}: SoakStep,
	) => {
		const vm = vms[selector % vms.length];
		switch (action) {
			case 'kill': {
				return endAndRestart(vm, 'SIGKILL', forMs);
			}

			case 'kill-all': {
				await Promise.all(
					vms.map(async (one) => endAndRestart(one, 'SIGKILL', forMs)),
				);
				return;
			}

			case 'pause': {
				return pause(vm, forMs);
			}

			case 'reload': {
				return disrupt('vm-reload', vm.index, async () => {
					vm.process.signal('SIGHUP');
				});
			}

			case 'stop': {
				return endAndRestart(vm, 'SIGTERM', forMs);
			}

			case 'stop-twice': {
				const {pid} = vm.process;
				const signalAgain = async () => {
					await sleep(secondSignalDelayMs);
					// Another step may have ended and restarted the daemon meanwhile.
					if (vm.process.pid === pid) {
						vm.process.signal('SIGTERM');
					}
				};

				await Promise.all([endAndRestart(vm, 'SIGTERM', forMs), signalAgain()]);
			}
		}
	};

	const applyStoreAction = async (
		{action}: ActionOf<'store'>,
		{forMs}: SoakStep,
	) =>
		disrupt(`store-${action}`, undefined, async () => {
			if (action === 'forget') {
				store.dropHistory();
				return;
			}

			store.respondWith(503);
			await sleep(forMs);
			store.respondWith(undefined);
		});

	const applyServiceMode = async (
		{mode}: ActionOf<'service'>,
		{selector, forMs}: SoakStep,
	) => {
		const services = targets.active.filter(
			({service}) => service === soakServices.plain,
		);
		const chosen =
			selector % 2 === 0
				? services
				: services.slice(selector % services.length);
		await disrupt(`service-${mode}`, undefined, async () => {
			targets.setMode(chosen, mode);
			await sleep(forMs);
			targets.setMode(chosen, 'sound');
		});
	};

	const addReplacement = async (service: string) =>
		service === soakServices.engines
			? targets.addEngine()
			: targets.addService(service);

	const crash = async (target: SoakTarget, forMs: number) =>
		disrupt('target-crash', undefined, async () => {
			target.closeAbruptly();
			await sleep(entryRemovalDelayMs);
			target.removeEntry();
			await sleep(forMs);
			await addReplacement(target.service);
		});

	const applyTargetAction = async (
		{action}: ActionOf<'target'>,
		{selector, forMs}: SoakStep,
	) => {
		const candidates = targets.active.filter(({service}) =>
			Object.values<string>(soakServices).includes(service),
		);
		const target = candidates[selector % candidates.length];
		if (!target) {
			return;
		}

		targets.deactivate(target);
		if (action === 'leave') {
			await addReplacement(target.service);
			target.announceLeaving();
			observations.leaves.push({
				targetId: target.id,
				atMs: performance.now(),
			});
			await sleep(soakBounds.drainMs + extraServingMs);
			target.removeEntry();
			target.closeAbruptly();
			return;
		}

		await crash(target, forMs);
	};

	const targetFaults = createTargetFaults({
		store,
		targets,
		observations,
		sleep,
		addReplacement,
		async crash(target, forMs) {
			targets.deactivate(target);
			await untilDisposed(async () => crash(target, forMs));
		},
	});

	const performStep = async (step: SoakStep) => {
		const {action} = step;
		await sleep(step.atMs);
		switch (action.type) {
			case 'link': {
				return applyLinkFault(action, step);
			}

			case 'vm': {
				return applyVmAction(action, step);
			}

			case 'store': {
				return applyStoreAction(action, step);
			}

			case 'service': {
				return applyServiceMode(action, step);
			}

			case 'target': {
				return applyTargetAction(action, step);
			}

			case 'configuration': {
				return operator.writeVersions(action.versions);
			}

			case 'rate-limit': {
				const {active} = targets;
				const target = active[step.selector % active.length];
				return rateLimitFault.apply(
					target,
					action.requestsPerSecond,
					step.forMs,
				);
			}

			case 'statement': {
				const {statement} = action;
				return targetFaults.applyStatement(
					statement,
					step.selector,
					step.forMs,
				);
			}

			case 'crashing-part': {
				const {eventsBefore = 0} = action;
				return targetFaults.applyCrashingPart(step.forMs, eventsBefore);
			}

			case 'stream': {
				return targetFaults.applyStreamFault(
					action.fault,
					step.selector,
					step.forMs,
				);
			}

			case 'odd-entries': {
				targetFaults.addOddEntries();
			}
		}
	};

	return {
		start,
		async apply(step) {
			await untilDisposed(async () => performStep(step));
		},
		dispose() {
			disposal.abort();
		},
	};
}
