import {tableNames} from '../../platform/index.js';
import {
	type StoreStandin,
	type StreamFault,
	targetRow,
	type TargetStatement,
} from '../../platform/testing/index.js';
import type {Observations} from './observations.js';
import {soakBounds} from './soak-bounds.js';
import {
	soakServices,
	type SoakTarget,
	type SoakTargets,
} from './soak-targets.js';

export type TargetFaultsOptions = {
	readonly store: StoreStandin;
	readonly targets: SoakTargets;
	readonly observations: Observations;
	/** Waits for a duration in milliseconds; rejects if the run ends meanwhile. */
	readonly sleep: (durationMs: number) => Promise<void>;
	/** Adds a target of the same service. */
	readonly addReplacement: (service: string) => Promise<void>;
	/** Ends a target abruptly, and replaces it after some time. */
	readonly crash: (target: SoakTarget, forMs: number) => Promise<void>;
};

/** Makes targets say things of themselves, engines end under a prompt part, and entries appear that name no target. */
export type TargetFaults = {
	applyStatement(
		statement: 'back-off' | 'leaving',
		selector: number,
		forMs: number,
	): Promise<void>;
	/** @param eventsBefore - events that a run with the part sends before its engine ends */
	applyCrashingPart(forMs: number, eventsBefore: number): Promise<void>;
	/** Spoils the streams of one engine; runs are dropped by all engines. */
	applyStreamFault(
		fault: StreamFault,
		selector: number,
		forMs: number,
	): Promise<void>;
	addOddEntries(): void;
};

/** Time for which a target that turns requests away wants no others, in milliseconds. */
const backOffMs = 1500;
/** Time after which an engine that has ended under a part is replaced, in milliseconds. */
const crashedMs = 200;
/** Time for which a leaving target keeps serving beyond the drain time, in milliseconds. */
const extraServingMs = 1500;

const oddAddresses = ['127.0.0.1:99999', '127.0.0.1:0', '127.0.0.999:80'];
const oddTexts = ['['.repeat(30_000), '{"slots":1e400}', '\u0000'];

export function createTargetFaults(options: TargetFaultsOptions): TargetFaults {
	const {store, targets, observations, sleep} = options;
	let partCount = 0;

	const sayThatItLeaves = async (target: SoakTarget) => {
		targets.deactivate(target);
		await options.addReplacement(target.service);
		// The store says that the target is ready for all of the time.
		target.setStatement({kind: 'leaving'});
		await sleep(soakBounds.drainMs + extraServingMs);
		target.removeEntry();
		target.closeAbruptly();
	};

	const turnAway = async (target: SoakTarget, forMs: number) => {
		const statement: TargetStatement = {kind: 'back-off', forMs: backOffMs};
		target.setStatement(statement);
		await sleep(forMs);
		target.setStatement(undefined);
	};

	return {
		async applyStatement(statement, selector, forMs) {
			const candidates = targets.active.filter(({service}) =>
				Object.values<string>(soakServices).includes(service),
			);
			const target = candidates[selector % candidates.length];
			if (target) {
				await (statement === 'leaving'
					? sayThatItLeaves(target)
					: turnAway(target, forMs));
			}
		},
		async applyCrashingPart(forMs, eventsBefore) {
			const part = `crashing-${partCount++}`;
			observations.crashingPart = part;
			const onCrash = (target: SoakTarget) => {
				if (targets.active.includes(target)) {
					observations.partCrashes.push({part, atMs: performance.now()});
					void options.crash(target, crashedMs);
				}
			};

			targets.setCrashingPart(part, onCrash, eventsBefore);
			await sleep(forMs);
			if (observations.crashingPart === part) {
				observations.crashingPart = undefined;
			}
		},
		async applyStreamFault(fault, selector, forMs) {
			const engines = targets.active.filter(
				({service}) => service === soakServices.engines,
			);
			const chosen =
				fault === 'dropped'
					? engines
					: engines.slice(selector % engines.length).slice(0, 1);
			for (const engine of chosen) {
				engine.setStreamFault(fault);
			}

			await sleep(forMs);
			for (const engine of chosen) {
				engine.setStreamFault(undefined);
			}
		},
		addOddEntries() {
			for (const [index, address] of oddAddresses.entries()) {
				const row = targetRow(soakServices.plain, address, 'ready', 500);
				store.put(tableNames.targets, `odd-address-${index}`, row);
			}

			for (const [index, text] of oddTexts.entries()) {
				store.putText(tableNames.targets, `odd-text-${index}`, text);
			}
		},
	};
}
