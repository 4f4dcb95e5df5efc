import {
	type InvariantMonitor,
	ProblemError,
	toProblem,
} from '../../../common/index.js';
import {
	type ConfigurationCheck,
	type ConfigurationFollower,
	type ConfigurationReader,
	createConfigurationFollower,
	createConfigurationReader,
	createConfigurationStore,
	type ConfigurationStore,
} from '../../../decisions/configuration/index.js';
import {
	FakeProcess,
	FakeTableService,
	type VirtualTime,
} from '../../fakes/index.js';
import {ConfigurationChecker} from './configuration-checker.js';

/** Options of a simulated fleet whose VMs follow the configuration. */
export type ConfigurationFleetOptions = {
	readonly time: VirtualTime;
	readonly invariants: InvariantMonitor;
	readonly vmCount: number;
	readonly operatorCount: number;
	/** Interval at which each VM polls the table service, in milliseconds. */
	readonly pollMs: number;
	/** Checks left out of the configuration code; for tests only. */
	readonly omittedChecks?: ReadonlySet<ConfigurationCheck>;
	/** Called when the process of a VM or of an operator crashes or pauses. */
	readonly onFault: (kind: 'crash' | 'pause') => void;
	/** Called when a change is rejected because another operator's change came first. */
	readonly onConflict: () => void;
	readonly trace: (line: string) => void;
};

type ConfigurationVm = {
	readonly process: FakeProcess;
	readonly follower: ConfigurationFollower;
	readonly reader: ConfigurationReader;
};

type Operator = {
	process: FakeProcess;
	store: ConfigurationStore;
	/** Version that the operator's next change is based on. */
	nextBaseVersion: number;
};

const settingKey = 'contract.shareWeight';
const maxAttempts = 4;
const retryDelayMs = 120;

// Small limits, so that a run reads several pages and snapshots.
const storeLimits = {pageRows: 4, snapshotEvery: 3};

/** A simulated fleet of a table service, operators, and entry VMs that follow the configuration. */
export class ConfigurationFleet {
	readonly table: FakeTableService;
	readonly checker: ConfigurationChecker;
	/** While true, entry VMs cannot reach each other. */
	peersCut = false;
	private readonly vms: ConfigurationVm[] = [];
	private readonly operators: Operator[] = [];
	private changeCount = 0;

	constructor(private readonly options: ConfigurationFleetOptions) {
		this.table = new FakeTableService(options.time, {
			latencyMs: 6,
			timeoutMs: 150,
		});
		this.checker = new ConfigurationChecker(options.invariants, this.table);
		for (let vm = 0; vm < options.vmCount; vm++) {
			this.vms.push(this.startVm(vm));
		}

		for (let index = 0; index < options.operatorCount; index++) {
			this.operators.push(this.startOperator());
		}
	}

	processOf(vm: number): FakeProcess {
		return this.vms[vm].process;
	}

	operatorProcess(index: number): FakeProcess {
		return this.operators[index].process;
	}

	followerOf(vm: number): ConfigurationFollower {
		return this.vms[vm].follower;
	}

	/** Replaces a crashed VM by a new process that has no configuration. */
	restart(vm: number): void {
		if (this.vms[vm].process.state === 'crashed') {
			this.vms[vm] = this.startVm(vm);
		}
	}

	/**
	 * Commits a change by an operator, and retries it with the same id after an error such as a lost response.
	 * A crashed operator is replaced first.
	 */
	async commitChange(index: number, value: number): Promise<void> {
		if (this.operators[index].process.state === 'crashed') {
			this.operators[index] = this.startOperator();
		}

		const operator = this.operators[index];
		const baseVersion = operator.nextBaseVersion;
		const changeId = `change-${this.changeCount++}`;
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			try {
				const {version} = await operator.store.commit({
					baseVersion,
					changeId,
					author: `operator-${index}`,
					atWallMs: this.options.time.wallMs(),
					edits: [{op: 'set', key: settingKey, value}],
				});
				this.options.trace(`${changeId} is accepted as version ${version}`);
				this.checker.recordAccepted(changeId, version, value);
				operator.nextBaseVersion = Math.max(operator.nextBaseVersion, version);
				return;
			} catch (error) {
				const problem = toProblem(error);
				this.options.trace(`${changeId}: ${problem.type}`);
				if (problem.type === 'configuration-conflict') {
					this.options.onConflict();
					this.checker.recordConflict(changeId, problem);
					operator.nextBaseVersion = Math.max(
						operator.nextBaseVersion,
						baseVersion + 1,
					);
					return;
				}

				await operator.process.sleep(retryDelayMs);
			}
		}
	}

	/** Sends VM `to` the changes of VM `from` that it lacks. Does nothing unless both run and can connect. */
	gossip(from: number, to: number): void {
		const source = this.vms[from];
		const destination = this.vms[to];
		if (
			this.peersCut ||
			source.process.state !== 'running' ||
			destination.process.state !== 'running'
		) {
			return;
		}

		const {version} = destination.follower.current;
		destination.follower.offer(source.follower.changesAfter(version), 'peer');
	}

	/** Cancels the planned faults, ends the outages and replaces crashed VMs; paused VMs stay paused. */
	heal(): void {
		this.table.clearFaults();
		this.peersCut = false;
		for (const [vm, {process}] of this.vms.entries()) {
			process.clearFaults();
			this.restart(vm);
		}
	}

	private startOperator(): Operator {
		const process = new FakeProcess(this.options.time, this.options.onFault);
		return {
			process,
			store: createConfigurationStore(process.wrap(this.table), {
				...storeLimits,
				omittedChecks: this.options.omittedChecks,
			}),
			nextBaseVersion: this.checker.highestAcceptedVersion,
		};
	}

	private startVm(vm: number): ConfigurationVm {
		const process = new FakeProcess(this.options.time, this.options.onFault);
		const follower = createConfigurationFollower(this.options.omittedChecks);
		const reader = createConfigurationReader({
			store: createConfigurationStore(process.wrap(this.table), storeLimits),
			follower,
			maxPages: 50,
			onCorruptRow: () => undefined,
		});
		follower.onChange((configuration) => {
			this.options.trace(`VM ${vm} applies version ${configuration.version}`);
			this.checker.recordInForce(vm, follower, configuration);
		});
		void this.pollForever(vm, process, reader);
		return {process, follower, reader};
	}

	private async pollForever(
		vm: number,
		process: FakeProcess,
		reader: ConfigurationReader,
	): Promise<void> {
		// Staggers the polls of the VMs.
		await process.sleep(vm * 10);
		for (;;) {
			try {
				await reader.poll();
				const {follower} = this.vms[vm];
				this.checker.recordInForce(vm, follower, follower.current);
			} catch (error) {
				if (!(error instanceof ProblemError)) {
					throw error;
				}
			}

			await process.sleep(this.options.pollMs);
		}
	}
}
