import {setTimeout as sleep} from 'node:timers/promises';
import {tableNames} from '../../platform/index.js';
import {
	configurationRow,
	type StoreStandin,
} from '../../platform/testing/index.js';
import {movingServicePrefix, type Observations} from './observations.js';
import {soakServices, type SoakTargets} from './soak-targets.js';

/** The operator, who writes versions of the configuration. */
export type Operator = {
	/** Writes versions in quick succession. */
	writeVersions(versions: number): Promise<void>;
};

/** What callers need to know of the deployment. */
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

const firstVersion = 3;
const gapMs = 80;
const versionStep = 3;

/** Creates an operator that has written nothing. */
export function createOperator(
	store: StoreStandin,
	targets: SoakTargets,
	observations: Observations,
): Operator {
	let version = firstVersion;
	const {paths, timeoutMs} = deployment;

	/** Every version sends one route to a service of its own. */
	const write = async () => {
		version += 1 + (version % versionStep);
		const moving = `${movingServicePrefix}${version}`;
		await targets.addService(moving);
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
						service: moving,
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
		async writeVersions(versions) {
			for (let count = 0; count < versions; count++) {
				await write();
				await sleep(gapMs);
			}
		},
	};
}
