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

/** How the command line reaches the platform and the entry VMs. */
export type FleetClientOptions = {
	readonly platformUrl: string;
	readonly operatorToken: string;
	/** Peer URLs of entry VMs; if empty, those of the VM list. */
	readonly entryUrls: readonly string[];
	/** Time until a call fails, in milliseconds. */
	readonly callTimeoutMs: number;
};

/** State of one entry VM, or why it could not be read. */
export type EntryReading = {
	readonly url: string;
	readonly status: EntryStatus | undefined;
	readonly problem: string | undefined;
};

/** Reads the fleet's state and configuration. */
export type FleetClient = {
	readonly configurationStore: ConfigurationStore;
	readEntries(): Promise<readonly EntryReading[]>;
	/** Calls every entry VM; those that cannot be reached are left out of the result. */
	queryEntries<T>(
		ask: (client: PeerClient) => Promise<T>,
	): Promise<ReadonlyMap<string, T>>;
	/**
	 * Waits until a version is in force on every entry VM.
	 * @param timeoutMs - how long to wait, in milliseconds
	 * @throws ProblemError `deadline-exceeded` naming the VMs that lag
	 */
	waitUntilInForce(version: number, timeoutMs: number): Promise<void>;
};

const pollMs = 200;

/** Creates a client of the fleet. */
export function createFleetClient(options: FleetClientOptions): FleetClient {
	const platform = {url: options.platformUrl, timeoutMs: options.callTimeoutMs};
	const vmList = new HttpVmList(platform);

	const entryUrls = async (): Promise<readonly string[]> => {
		if (options.entryUrls.length > 0) {
			return options.entryUrls;
		}

		const {vms} = await vmList.read();
		return vms
			.filter((vm) => vm.role === 'entry')
			.map((vm) => `http://${vm.address}`);
	};

	const clientOf = (url: string) =>
		createPeerClient({
			url,
			token: options.operatorToken,
			timeoutMs: options.callTimeoutMs,
		});

	const readEntry = async (url: string): Promise<EntryReading> => {
		try {
			return {
				url,
				status: await clientOf(url).status.query(),
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
		const urls = await entryUrls();
		return Promise.all(urls.map(async (url) => readEntry(url)));
	};

	return {
		configurationStore: createConfigurationStore(
			new EtcdTableService(platform),
		),
		readEntries,
		async queryEntries(ask) {
			const urls = await entryUrls();
			const settled = await Promise.allSettled(
				urls.map(async (url) => ask(clientOf(url))),
			);
			const results = new Map<string, Awaited<ReturnType<typeof ask>>>();
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
						`version ${version} was accepted but is not yet in force on: ${names}`,
					);
				}

				await new Promise((resolve) => {
					setTimeout(resolve, pollMs);
				});
			}
		},
	};
}
