import type {InvariantMonitor, ProblemError} from '../../../common/index.js';
import {
	applyChange,
	checkChange,
	type ConfigurationChange,
	type ConfigurationFollower,
	emptyConfiguration,
	type FleetConfiguration,
} from '../../../decisions/configuration/index.js';
import type {FakeTableService} from '../../fakes/index.js';

type AcceptedChange = {readonly version: number; readonly value: number};

const serializeContent = ({values, exceptions}: FleetConfiguration): string =>
	JSON.stringify([Object.fromEntries(values), Object.fromEntries(exceptions)]);

/**
 * Checks the configurations in force on the VMs against the history of changes in the table, and that history
 * against the results that operators received.
 */
export class ConfigurationChecker {
	private readonly accepted = new Map<string, AcceptedChange>();
	private readonly rejectedChangeIds = new Set<string>();
	private readonly highestVersionByVm = new Map<number, number>();
	/** Serialised content of each version that a VM had in force. */
	private readonly contentByVersion = new Map<number, string>();

	constructor(
		private readonly invariants: InvariantMonitor,
		private readonly table: FakeTableService,
	) {}

	/** Highest version accepted so far, 0 if none was. */
	get highestAcceptedVersion(): number {
		return Math.max(
			0,
			...[...this.accepted.values()].map(({version}) => version),
		);
	}

	/** Records an accepted change, and checks that no other change has its version. */
	recordAccepted(changeId: string, version: number, value: number): void {
		for (const [otherId, other] of this.accepted) {
			this.check(
				other.version !== version,
				() =>
					`${changeId} and ${otherId} were both accepted as version ${version}`,
			);
		}

		this.accepted.set(changeId, {version, value});
	}

	/** Records a rejected change, and checks that the error names the change that came first. */
	recordConflict(changeId: string, problem: ProblemError): void {
		this.rejectedChangeIds.add(changeId);
		this.check(
			problem.details?.otherChange !== undefined,
			() =>
				`${changeId} was rejected, but the error does not name the conflicting change`,
		);
	}

	/**
	 * Records the configuration in force on a VM. Checks that each version has the same content on all VMs, and
	 * that the version does not go down on a VM that has caught up, since only such a VM is ready and serves.
	 */
	recordInForce(
		vm: number,
		follower: ConfigurationFollower,
		configuration: FleetConfiguration,
	): void {
		const {version} = configuration;
		const content =
			this.contentByVersion.get(version) ?? serializeContent(configuration);
		this.contentByVersion.set(version, content);
		this.check(
			content === serializeContent(configuration),
			() =>
				`VM ${vm} has other content for version ${version} than the other VMs`,
		);
		if (follower.isCaughtUp) {
			const highest = this.highestVersionByVm.get(vm) ?? 0;
			this.check(
				version >= highest,
				() => `VM ${vm} went from version ${highest} to ${version}`,
			);
			this.highestVersionByVm.set(vm, Math.max(highest, version));
		}
	}

	/**
	 * Checks that every accepted change and no rejected one is in the history, and that each version that a VM had
	 * in force has the content that the history gives it.
	 */
	checkHistory(): void {
		const changes = this.history();
		let configuration = emptyConfiguration;
		for (const change of changes) {
			configuration = applyChange(configuration, change);
			const content = this.contentByVersion.get(change.version);
			this.check(
				content === undefined || content === serializeContent(configuration),
				() =>
					`version ${change.version} was in force with content that differs from the history`,
			);
			this.check(
				!this.rejectedChangeIds.has(change.changeId),
				() => `${change.changeId} was rejected, but is in the history`,
			);
		}

		for (const [changeId, {version}] of this.accepted) {
			this.check(
				changes[version - 1]?.changeId === changeId,
				() =>
					`${changeId} was accepted as version ${version}, but is not in the history`,
			);
		}
	}

	/** Checks that a VM has caught up and has the last version of the history in force. */
	checkCaughtUp(vm: number, follower: ConfigurationFollower): void {
		const {length} = this.history();
		this.check(
			follower.isCaughtUp && follower.current.version === length,
			() =>
				`VM ${vm} has version ${follower.current.version} instead of ${length}`,
		);
	}

	private history(): readonly ConfigurationChange[] {
		return this.table
			.peekAll('config/version/')
			.map((row) => checkChange(JSON.parse(row.value)));
	}

	private check(holds: boolean, detail: () => string): void {
		this.invariants.check('configuration', holds, detail);
	}
}
