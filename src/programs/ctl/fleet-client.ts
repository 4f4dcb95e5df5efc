import {
	createPeerClient,
	type EntryStatus,
	type PeerClient,
} from '../../adapters/peers/index.js';
import {
	EtcdTableService,
	HttpVmList,
} from '../../adapters/standalone-platform/index.js';
import {ProblemError, toProblem} from '../../common/index.js';
import {
	type ConfigurationStore,
	createConfigurationStore,
} from '../../decisions/configuration/index.js';

/** Addresses, credentials and timeouts of the platform and the entry VMs. */
export type FleetClientOptions = {
	readonly platformUrl: string;
	readonly operatorToken: string;
	/** URLs of the peer ports of entry VMs; if empty, all entry VMs of the VM list are used. */
	readonly entryUrls: readonly string[];
	/** Timeout of each request, in milliseconds. */
	readonly callTimeoutMs: number;
};

/** Status of one entry VM, or the problem for which it could not be read. */
export type EntryReading = {
	readonly url: string;
	readonly status: EntryStatus | undefined;
	readonly problem: string | undefined;
};

/** Access of the command line to the fleet: its configuration and its entry VMs. */
export type FleetClient = {
	readonly configurationStore: ConfigurationStore;
	/** Reads the status of every entry VM; an unreachable VM is reported with its problem. */
	readEntries(): Promise<readonly EntryReading[]>;
	/**
	 * Sends a query to every entry VM.
	 * @param query - sends the query through the client of one VM
	 * @returns the results by URL, without the VMs whose query failed
	 */
	queryEntries<T>(
		query: (client: PeerClient) => Promise<T>,
	): Promise<ReadonlyMap<string, T>>;
	/**
	 * Waits until a configuration version, or a later one, is in force on every entry VM.
	 * @param timeoutMs - longest time to wait, in milliseconds
	 * @throws ProblemError `deadline-exceeded` with the VMs on which it is not in force
	 */
	waitUntilInForce(version: number, timeoutMs: number): Promise<void>;
};

const pollIntervalMs = 200;

export function createFleetClient(options: FleetClientOptions): FleetClient {
	const platform = {url: options.platformUrl, timeoutMs: options.callTimeoutMs};
	const vmList = new HttpVmList(platform);

	const resolveEntryUrls = async (): Promise<readonly string[]> => {
		if (options.entryUrls.length > 0) {
			return options.entryUrls;
		}

		const {vms} = await vmList.read();
		return vms
			.filter((vm) => vm.role === 'entry')
			.map((vm) => `http://${vm.address}`);
	};

	const createClient = (url: string) =>
		createPeerClient({
			url,
			token: options.operatorToken,
			timeoutMs: options.callTimeoutMs,
		});

	const readEntry = async (url: string): Promise<EntryReading> => {
		try {
			return {
				url,
				status: await createClient(url).status.query(),
				problem: undefined,
			};
		} catch (error) {
			return {
				url,
				status: undefined,
				problem: toProblem(error, 'peer-unavailable').detail,
			};
		}
	};

	const readEntries = async () => {
		const urls = await resolveEntryUrls();
		return Promise.all(urls.map(async (url) => readEntry(url)));
	};

	return {
		configurationStore: createConfigurationStore(
			new EtcdTableService(platform),
		),
		readEntries,
		async queryEntries(query) {
			const urls = await resolveEntryUrls();
			const settled = await Promise.allSettled(
				urls.map(async (url) => query(createClient(url))),
			);
			const results = new Map<string, Awaited<ReturnType<typeof query>>>();
			for (const [index, result] of settled.entries()) {
				if (result.status === 'fulfilled') {
					results.set(urls[index], result.value);
				}
			}

			return results;
		},
		async waitUntilInForce(version, timeoutMs) {
			const deadlineMs = performance.now() + timeoutMs;
			for (;;) {
				const entries = await readEntries();
				const lagging = entries.filter(
					(entry) => (entry.status?.configurationVersion ?? -1) < version,
				);
				if (lagging.length === 0) {
					return;
				}

				if (performance.now() > deadlineMs) {
					const names = lagging
						.map((entry) => entry.status?.name ?? entry.url)
						.join(', ');
					throw new ProblemError(
						'deadline-exceeded',
						`configuration version ${version} was accepted but is not yet in force on: ${names}`,
					);
				}

				await new Promise((resolve) => {
					setTimeout(resolve, pollIntervalMs);
				});
			}
		},
	};
}
