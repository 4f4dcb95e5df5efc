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

/** Checks what the VMs have in force against the history and against what operators were told. */
export class ConfigurationChecker {
	private readonly accepted = new Map<string, AcceptedChange>();
	private readonly rejectedChangeIds = new Set<string>();
	private readonly highestVersionByVm = new Map<number, number>();
	private readonly contentByVersion = new Map<number, string>();

	constructor(
		private readonly invariants: InvariantMonitor,
		private readonly table: FakeTableService,
	) {}

	get highestAcceptedVersion(): number {
		return Math.max(
			0,
			...[...this.accepted.values()].map(({version}) => version),
		);
	}

	recordAccepted(changeId: string, version: number, value: number): void {
		for (const [otherId, other] of this.accepted) {
			this.check(
				other.version !== version,
				() => `${changeId} and ${otherId} were both accepted as ${version}`,
			);
		}

		this.accepted.set(changeId, {version, value});
	}

	recordConflict(changeId: string, problem: ProblemError): void {
		this.rejectedChangeIds.add(changeId);
		this.check(
			problem.details?.otherChange !== undefined,
			() => `${changeId} was refused without the other change`,
		);
	}

	/** Notes what a VM has in force; only a confirmed VM is ready and serves with it. */
	recordInForce(
		vm: number,
		follower: ConfigurationFollower,
		configuration: FleetConfiguration,
	): void {
		const {version} = configuration;
		const known =
			this.contentByVersion.get(version) ?? serializeContent(configuration);
		this.contentByVersion.set(version, known);
		this.check(
			known === serializeContent(configuration),
			() => `VM ${vm} has another version ${version} than the others`,
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

	/** Checks that every accepted change, and no refused one, is in the history. */
	checkHistory(): void {
		const changes = this.history();
		let configuration = emptyConfiguration;
		for (const change of changes) {
			configuration = applyChange(configuration, change);
			const seen = this.contentByVersion.get(change.version);
			this.check(
				seen === undefined || seen === serializeContent(configuration),
				() => `version ${change.version} was in force with other values`,
			);
			this.check(
				!this.rejectedChangeIds.has(change.changeId),
				() => `${change.changeId} was refused, but is in the history`,
			);
		}

		for (const [changeId, {version}] of this.accepted) {
			this.check(
				changes[version - 1]?.changeId === changeId,
				() =>
					`${changeId} was accepted as ${version}, but is not in the history`,
			);
		}
	}

	/** Checks that a VM has the whole history in force. */
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
