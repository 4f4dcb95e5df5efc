import {setTimeout as sleep} from 'node:timers/promises';
import {tableNames} from '../../platform/index.js';
import {
	configurationRow,
	type StoreStandin,
} from '../../platform/testing/index.js';
import {movingServicePrefix, type Observations} from './observations.js';
import {soakServices, type SoakTargets} from './soak-targets.js';

/** Writes configuration versions to the store, as the operator of the platform does. */
export type Operator = {
	/** Writes a number of versions in quick succession. */
	writeVersions(count: number): Promise<void>;
};

/** Host, API key, account, paths and timeouts of the deployment, which callers use too. */
export const deployment = {
	host: 'soak.example',
	apiKey: 'key-1',
	account: 'finishers',
	paths: {
		lookup: '/stock/',
		booking: '/book/',
		moving: '/moving/',
		report: '/report/',
	},
	timeoutMs: {lookup: 1500, booking: 1500, moving: 1500, report: 6000},
} as const;

const versionBeforeFirst = 3;
const gapMs = 80;
/** Versions skip some numbers, as the applied versions need not be consecutive. */
const versionStepModulus = 3;

/** Creates an operator; it has not written a version yet. */
export function createOperator(
	store: StoreStandin,
	targets: SoakTargets,
	observations: Observations,
): Operator {
	let version = versionBeforeFirst;
	const {paths, timeoutMs} = deployment;

	/** Writes the next version; its `moving` route leads to a new service with a target of its own. */
	const writeVersion = async () => {
		version += 1 + (version % versionStepModulus);
		const movingService = `${movingServicePrefix}${version}`;
		await targets.addService(movingService);
		store.put(
			tableNames.operator,
			tableNames.configurationKey,
			configurationRow({
				version,
				host: deployment.host,
				account: deployment.account,
				apiKeys: [deployment.apiKey],
				routes: [
					{
						name: 'stock',
						prefix: paths.lookup,
						kind: 'idempotent',
						service: soakServices.plain,
						timeoutMs: timeoutMs.lookup,
					},
					{
						name: 'book',
						prefix: paths.booking,
						kind: 'non_idempotent',
						service: soakServices.plain,
						timeoutMs: timeoutMs.booking,
					},
					{
						name: 'moving',
						prefix: paths.moving,
						kind: 'non_idempotent',
						service: movingService,
						timeoutMs: timeoutMs.moving,
					},
					{
						name: 'report',
						prefix: paths.report,
						kind: 'stream',
						service: soakServices.engines,
						timeoutMs: timeoutMs.report,
					},
				],
			}),
		);
		observations.configurations.push({version, atMs: performance.now()});
	};

	return {
		async writeVersions(count) {
			for (let written = 0; written < count; written++) {
				await writeVersion();
				await sleep(gapMs);
			}
		},
	};
}
