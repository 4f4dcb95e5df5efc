import {setMaxListeners} from 'node:events';
import {setTimeout as sleepFor} from 'node:timers/promises';
import type {Disposable} from '../../common/index.js';
import type {Disruption, Observations} from './observations.js';
import type {Operator} from './operator.js';
import {soakBounds} from './soak-bounds.js';
import type {SoakFleet, SoakVm} from './soak-fleet.js';
import type {LinkName, SoakStep, StepAction} from './soak-plan.js';
import {soakServices} from './soak-targets.js';

/** Brings about the faults of a plan; steps that are under way are left where they are when it is disposed. */
export type FaultInjector = Disposable & {
	/** Starts a daemon and notes that its VM has just started. */
	start(vm: SoakVm): void;
	/** Brings about one step; resolves when it is over. */
	apply(step: SoakStep): Promise<void>;
};

type ActionOf<Type extends StepAction['type']> = Extract<
	StepAction,
	{readonly type: Type}
>;

/** Time after which the entry of a target that crashed is removed, in milliseconds. */
const lapseMs = 1200;
/** Targets that leave go on serving a little longer than they must, in milliseconds. */
const leaveSlackMs = 1500;

/** Creates an injector for a fleet. */
export function createFaultInjector(
	fleet: SoakFleet,
	operator: Operator,
	observations: Observations,
): FaultInjector {
	const {vms, targets, store} = fleet;
	const stopping = new AbortController();
	setMaxListeners(0, stopping.signal);
	const sleep = async (durationMs: number) =>
		sleepFor(durationMs, undefined, {signal: stopping.signal});

	const disrupt = async (
		kind: string,
		vm: number | undefined,
		act: () => Promise<void>,
	) => {
		const disruption: Disruption = {
			vm,
			kind,
			fromMs: performance.now(),
			untilMs: Infinity,
		};
		observations.disruptions.push(disruption);
		await act();
		disruption.untilMs = performance.now();
	};

	const start = (vm: SoakVm) => {
		void disrupt('start', vm.index, async () => {
			vm.process.start();
		});
	};

	const proxyOf = (link: LinkName, where: number) => {
		const vm = vms[where % vms.length];
		switch (link) {
			case 'caller': {
				return {vm: vm.index, proxy: vm.callerProxy};
			}

			case 'store': {
				return {vm: vm.index, proxy: vm.storeProxy};
			}

			case 'target': {
				const {active} = targets;
				return {vm: undefined, proxy: active[where % active.length].proxy};
			}
		}
	};

	const link = async (
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

	const end = async (
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

	const vmAction = async (
		{action}: ActionOf<'vm'>,
		{selector, forMs}: SoakStep,
	) => {
		const vm = vms[selector % vms.length];
		switch (action) {
			case 'kill': {
				return end(vm, 'SIGKILL', forMs);
			}

			case 'kill-all': {
				await Promise.all(vms.map(async (one) => end(one, 'SIGKILL', forMs)));
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
				return end(vm, 'SIGTERM', forMs);
			}
		}
	};

	const storeAction = async ({action}: ActionOf<'store'>, {forMs}: SoakStep) =>
		disrupt(`store-${action}`, undefined, async () => {
			if (action === 'forget') {
				store.dropHistory();
				return;
			}

			store.respondWith(503);
			await sleep(forMs);
			store.respondWith(undefined);
		});

	const serviceAction = async (
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

	const replace = async (service: string) =>
		service === soakServices.engines
			? targets.addEngine()
			: targets.addService(service);

	const targetAction = async (
		{action}: ActionOf<'target'>,
		{selector, forMs}: SoakStep,
	) => {
		const present = targets.active.filter(({service}) =>
			Object.values<string>(soakServices).includes(service),
		);
		const target = present[selector % present.length];
		if (!target) {
			return;
		}

		targets.deactivate(target);
		if (action === 'leave') {
			await replace(target.service);
			target.announceLeaving();
			observations.leaves.push({
				targetId: target.id,
				atMs: performance.now(),
			});
			await sleep(soakBounds.drainMs + leaveSlackMs);
			target.removeEntry();
			target.closeAbruptly();
			return;
		}

		await disrupt('target-crash', undefined, async () => {
			target.closeAbruptly();
			await sleep(lapseMs);
			target.removeEntry();
			await sleep(forMs);
			await replace(target.service);
		});
	};

	const perform = async (step: SoakStep) => {
		const {action} = step;
		await sleep(step.atMs);
		switch (action.type) {
			case 'link': {
				return link(action, step);
			}

			case 'vm': {
				return vmAction(action, step);
			}

			case 'store': {
				return storeAction(action, step);
			}

			case 'service': {
				return serviceAction(action, step);
			}

			case 'target': {
				return targetAction(action, step);
			}

			case 'configuration': {
				return operator.writeVersions(action.versions);
			}
		}
	};

	return {
		start,
		async apply(step) {
			try {
				await perform(step);
			} catch (error) {
				if (!stopping.signal.aborted) {
					throw error;
				}
			}
		},
		dispose() {
			stopping.abort();
		},
	};
}
