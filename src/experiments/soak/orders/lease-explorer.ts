import type {FencingSupport} from '../../../common/index.js';
import {
	type LeaseDecisions,
	type LeaseEvent,
	type LeaseRecord,
	withIntent,
} from '../../../decisions/leases/index.js';
import {deliverCopy, sendCopy} from './exploration-network.js';
import {
	applyWrite,
	createInitialState,
	leaseHolder,
	stateKey,
	type HolderName,
	holderNames,
	leaseSettings,
	type HolderState,
	type ExplorationState,
} from './exploration-state.js';

// Explores every interleaving of the step boundaries of two holders: deciding, a write reaching the
// table, its answer, the departure, arrival and answer of a command, reports, questions, the passing
// of the lease duration, and one crash or pause of the first holder between any two of them.

// Inherited copies matter for longer where the target does not refuse old numbers.
const maxJumps = {ignores: 3, 'refuses-old': 2};
/** Walks through every order of the steps once and collects what breaks. */
export class LeaseExplorer {
	/** Broken rules; the walk ends at the first. */
	readonly violations = new Set<string>();
	/** Worlds seen. */
	stateCount = 0;
	/** Commands of the second holder that took effect. */
	secondHolderEffectCount = 0;
	private readonly seen = new Set<string>();

	constructor(
		private readonly fencing: FencingSupport,
		private readonly decisions: LeaseDecisions,
	) {}

	/** Walks through all worlds. */
	run(): this {
		const open = [this.held(createInitialState(this.fencing))];
		for (let world = open.pop(); world; world = open.pop()) {
			const key = stateKey(world);
			if (this.violations.size > 0) {
				return this;
			}

			if (!this.seen.has(key)) {
				this.seen.add(key);
				this.stateCount++;
				open.push(...this.next(world));
			}
		}

		return this;
	}

	/** The first holder has the lease and the second one has seen the row. */
	private held(first: ExplorationState): ExplorationState {
		let world = first;
		while (world.a.lease.version !== 1) {
			const step = this.localStep(world, 'a') ?? this.steps(world, 'a')[0];
			world = world.a.pendingWrite ? applyWrite(world, 'a') : step;
		}

		return this.read(world, 'b');
	}

	// Steps that touch only one side commute with those of the other and are taken first; before the
	// first holder takes one, its fault may hit. Only the first holder may know an old row.
	private localStep(
		world: ExplorationState,
		name: HolderName,
	): ExplorationState | undefined {
		const side = world[name];
		if (side.processState !== 'running') {
			return undefined;
		}

		const [first] = this.deliveries(world, name);
		if (first || name === 'a') {
			return first;
		}

		const idle = !side.pendingWrite && !side.unsentCopy;
		const stale = side.lease.version !== world.row.version;
		return idle && stale ? this.read(world, name) : undefined;
	}

	private next(world: ExplorationState): ExplorationState[] {
		for (const name of holderNames) {
			const step = this.localStep(world, name);
			if (step) {
				return [step, ...(name === 'a' ? this.faults(world) : [])];
			}
		}

		const worlds: ExplorationState[] = [];
		for (const name of holderNames) {
			const side = world[name];
			if (side.pendingWrite) {
				worlds.push(applyWrite(world, name));
			}

			if (side.processState === 'running') {
				worlds.push(...this.steps(world, name));
			}
		}

		for (const index of world.copiesInFlight.keys()) {
			const next = deliverCopy(world, index, this.fencing, this.violations);
			this.secondHolderEffectCount +=
				next.lastAppliedCopy?.commandId === 'b' ? 1 : 0;
			worlds.push(next);
		}

		worlds.push(...this.faults(world));
		const lateMs = world.nowMs + leaseSettings.durationMs;
		const tooLate =
			world.copiesInFlight.length > 0 &&
			world.crashedAtMs !== undefined &&
			lateMs - world.crashedAtMs >= leaseSettings.lateCopyMs;
		// A holder without a fault renews in time, so the lease runs out only after one.
		const runsOut =
			world.hasFaulted &&
			lateMs <= maxJumps[this.fencing] * leaseSettings.durationMs &&
			!tooLate;
		if (runsOut) {
			worlds.push({...world, nowMs: lateMs});
		}

		return worlds;
	}

	private faults(world: ExplorationState): ExplorationState[] {
		if (world.a.processState === 'paused') {
			return [{...world, a: {...world.a, processState: 'running'}}];
		}

		return world.hasFaulted
			? []
			: [
					{...world, hasFaulted: true, a: {...world.a, processState: 'paused'}},
					{
						...world,
						hasFaulted: true,
						crashedAtMs: world.nowMs,
						a: {...world.a, processState: 'crashed'},
					},
				];
	}

	private advance(
		world: ExplorationState,
		name: HolderName,
		event: LeaseEvent,
		change: Partial<HolderState> = {},
	): ExplorationState {
		const side = world[name];
		const lease = this.decisions.advance(
			side.lease,
			event,
			world.nowMs,
			leaseSettings,
		);
		return {...world, [name]: {...side, ...change, lease}};
	}

	private read(world: ExplorationState, name: HolderName): ExplorationState {
		const {record, version} = world.row;
		return this.advance(world, name, {type: 'row-seen', record, version});
	}

	private deliveries(
		world: ExplorationState,
		name: HolderName,
	): ExplorationState[] {
		const side = world[name];
		const worlds: ExplorationState[] = [];
		if (side.pendingResult) {
			worlds.push(
				this.advance(world, name, side.pendingResult, {
					pendingResult: undefined,
				}),
			);
		}

		for (const [index, answer] of world.responses.entries()) {
			if (answer.from === name) {
				const responses = world.responses.toSpliced(index, 1);
				const outcome = answer.accepted ? 'accepted' : 'refused';
				const {commandId, copyNumber} = answer;
				const event = {type: 'copy-ended', commandId, copyNumber, outcome};
				worlds.push(
					this.advance({...world, responses}, name, event as LeaseEvent),
				);
			}
		}

		return worlds;
	}

	private steps(world: ExplorationState, name: HolderName): ExplorationState[] {
		const side = world[name];
		if (side.unsentCopy) {
			return [sendCopy(world, name, this.fencing, this.violations)];
		}

		const isWaiting =
			side.pendingWrite !== undefined || side.pendingResult !== undefined;
		return isWaiting ? [] : this.decide(world, name);
	}

	private decide(
		world: ExplorationState,
		name: HolderName,
	): ExplorationState[] {
		const {lease, hasAnnounced} = world[name];
		const {nowMs, row} = world;
		const write = (record: LeaseRecord, change: Partial<HolderState> = {}) =>
			this.advance(
				world,
				name,
				{type: 'write-started', record},
				{
					...change,
					pendingWrite: {record, version: lease.version},
				},
			);
		if (
			this.decisions.mayIssueCommand(lease, nowMs, leaseSettings) &&
			!hasAnnounced
		) {
			const kind = name === 'a' ? 'load-model' : 'unload-model';
			const order = {kind, name: 'm', version: '1'} as const;
			const command = {commandId: name, order, cause: 'test'};
			return [write(withIntent(lease.record!, command), {hasAnnounced: true})];
		}

		const action = this.decisions.decide(lease, nowMs, leaseSettings);
		switch (action.kind) {
			case 'write': {
				// The first holder does not come back, so that the exploration ends.
				return name === 'a' && action.purpose === 'take' && lease.version > 0
					? []
					: [write(action.record)];
			}

			case 'send': {
				const {commandId, copyNumber, order} = action;
				const unsentCopy = {from: name, commandId, copyNumber, order};
				return [this.advance(world, name, {type: 'copy-sent'}, {unsentCopy})];
			}

			case 'ask': {
				return [this.read(world, name), ...this.ask(world, name)];
			}

			case 'read': {
				return [this.read(world, name)];
			}

			case 'wait': {
				return lease.version === row.version
					? [this.report(world, name)]
					: [this.read(world, name)];
			}
		}
	}

	private report(world: ExplorationState, name: HolderName): ExplorationState {
		const models = world.isLoaded ? ['m'] : [];
		const {nowMs} = world;
		return this.advance(world, name, {type: 'report', atMs: nowMs, models});
	}

	private ask(world: ExplorationState, name: HolderName): ExplorationState[] {
		const other = name === 'a' ? 'b' : 'a';
		const {processState} = world[other];
		const told = (from: ExplorationState, evidence: 'stopped' | 'gone') =>
			this.advance(from, name, {
				type: 'predecessor',
				holder: leaseHolder(other),
				evidence,
			});
		if (processState === 'crashed') {
			return [told(world, 'gone')];
		}

		if (processState === 'paused') {
			return [];
		}

		const {fencingNumber} = world[name].lease.record!;
		const asked = this.advance(world, other, {
			type: 'stop-asked',
			fencingNumber,
		});
		const stopped = this.decisions.hasStopped(
			asked[other].lease,
			world.nowMs,
			leaseSettings,
		);
		return stopped ? [told(asked, 'stopped')] : [asked];
	}
}
