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

// The lease duration passes at most this often. Copies of the predecessor matter for longer at a target
// that does not refuse old fencing numbers.
const maxExpiries = {ignores: 3, 'refuses-old': 2};

/**
 * Explores every interleaving of the steps of two holders of a lease: a decision, a write reaching the
 * table, its result, a command being sent, its arrival and its response, load reports, stop requests,
 * the passing of the lease duration, and one crash or pause of the first holder between any two steps.
 */
export class LeaseExplorer {
	/** Violations found; the exploration ends at the first state that has one. */
	readonly violations = new Set<string>();
	/** Number of distinct states visited. */
	stateCount = 0;
	/** Deliveries after which the command of the second holder was the one applied last. */
	secondHolderEffectCount = 0;
	private readonly visitedKeys = new Set<string>();

	constructor(
		private readonly fencing: FencingSupport,
		private readonly decisions: LeaseDecisions,
	) {}

	/** Explores all states in depth-first order. */
	run(): this {
		const pending = [this.acquireLease(createInitialState(this.fencing))];
		for (let state = pending.pop(); state; state = pending.pop()) {
			const key = stateKey(state);
			if (this.violations.size > 0) {
				return this;
			}

			if (!this.visitedKeys.has(key)) {
				this.visitedKeys.add(key);
				this.stateCount++;
				pending.push(...this.successors(state));
			}
		}

		return this;
	}

	/** Runs until the first holder has the lease and the second one has read the row. */
	private acquireLease(initial: ExplorationState): ExplorationState {
		let state = initial;
		while (state.a.lease.version !== 1) {
			const step = this.localStep(state, 'a') ?? this.steps(state, 'a')[0];
			state = state.a.pendingWrite ? applyWrite(state, 'a') : step;
		}

		return this.readRow(state, 'b');
	}

	/**
	 * Steps that touch only one holder commute with those of the other, so they are taken first, without
	 * alternatives except a fault of the first holder. Only the first holder acts on outdated rows; the
	 * second one reads the row as soon as it is idle.
	 */
	private localStep(
		state: ExplorationState,
		name: HolderName,
	): ExplorationState | undefined {
		const holder = state[name];
		if (holder.processState !== 'running') {
			return undefined;
		}

		const [delivery] = this.deliveries(state, name);
		if (delivery || name === 'a') {
			return delivery;
		}

		const isIdle = !holder.pendingWrite && !holder.unsentCopy;
		const isStale = holder.lease.version !== state.row.version;
		return isIdle && isStale ? this.readRow(state, name) : undefined;
	}

	private successors(state: ExplorationState): ExplorationState[] {
		for (const name of holderNames) {
			const step = this.localStep(state, name);
			if (step) {
				return [step, ...(name === 'a' ? this.faults(state) : [])];
			}
		}

		const states: ExplorationState[] = [];
		for (const name of holderNames) {
			const holder = state[name];
			if (holder.pendingWrite) {
				states.push(applyWrite(state, name));
			}

			if (holder.processState === 'running') {
				states.push(...this.steps(state, name));
			}
		}

		for (const index of state.copiesInFlight.keys()) {
			const successor = deliverCopy(
				state,
				index,
				this.fencing,
				this.violations,
			);
			this.secondHolderEffectCount +=
				successor.lastAppliedCopy?.commandId === 'b' ? 1 : 0;
			states.push(successor);
		}

		states.push(...this.faults(state));
		const expiredAtMs = state.nowMs + leaseSettings.durationMs;
		const exceedsLateCopyTime =
			state.copiesInFlight.length > 0 &&
			state.crashedAtMs !== undefined &&
			expiredAtMs - state.crashedAtMs >= leaseSettings.lateCopyMs;
		// A holder without a fault renews in time, so the lease expires only after one.
		const canExpire =
			state.hasFaulted &&
			expiredAtMs <= maxExpiries[this.fencing] * leaseSettings.durationMs &&
			!exceedsLateCopyTime;
		if (canExpire) {
			states.push({...state, nowMs: expiredAtMs});
		}

		return states;
	}

	private faults(state: ExplorationState): ExplorationState[] {
		if (state.a.processState === 'paused') {
			return [{...state, a: {...state.a, processState: 'running'}}];
		}

		return state.hasFaulted
			? []
			: [
					{...state, hasFaulted: true, a: {...state.a, processState: 'paused'}},
					{
						...state,
						hasFaulted: true,
						crashedAtMs: state.nowMs,
						a: {...state.a, processState: 'crashed'},
					},
				];
	}

	private advance(
		state: ExplorationState,
		name: HolderName,
		event: LeaseEvent,
		change: Partial<HolderState> = {},
	): ExplorationState {
		const holder = state[name];
		const lease = this.decisions.advance(
			holder.lease,
			event,
			state.nowMs,
			leaseSettings,
		);
		return {...state, [name]: {...holder, ...change, lease}};
	}

	private readRow(state: ExplorationState, name: HolderName): ExplorationState {
		const {record, version} = state.row;
		return this.advance(state, name, {type: 'row-seen', record, version});
	}

	private deliveries(
		state: ExplorationState,
		name: HolderName,
	): ExplorationState[] {
		const holder = state[name];
		const states: ExplorationState[] = [];
		if (holder.pendingResult) {
			states.push(
				this.advance(state, name, holder.pendingResult, {
					pendingResult: undefined,
				}),
			);
		}

		for (const [index, response] of state.responses.entries()) {
			if (response.from === name) {
				const responses = state.responses.toSpliced(index, 1);
				const outcome = response.accepted ? 'accepted' : 'refused';
				const {commandId, copyNumber} = response;
				const event = {type: 'copy-ended', commandId, copyNumber, outcome};
				states.push(
					this.advance({...state, responses}, name, event as LeaseEvent),
				);
			}
		}

		return states;
	}

	private steps(state: ExplorationState, name: HolderName): ExplorationState[] {
		const holder = state[name];
		if (holder.unsentCopy) {
			return [sendCopy(state, name, this.fencing, this.violations)];
		}

		const isWaiting =
			holder.pendingWrite !== undefined || holder.pendingResult !== undefined;
		return isWaiting ? [] : this.decide(state, name);
	}

	private decide(
		state: ExplorationState,
		name: HolderName,
	): ExplorationState[] {
		const {lease, hasAnnounced} = state[name];
		const {nowMs, row} = state;
		const write = (record: LeaseRecord, change: Partial<HolderState> = {}) =>
			this.advance(
				state,
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
				// The first holder does not acquire the lease again; otherwise the exploration would not end.
				return name === 'a' && action.purpose === 'take' && lease.version > 0
					? []
					: [write(action.record)];
			}

			case 'send': {
				const {commandId, copyNumber, order} = action;
				const unsentCopy = {from: name, commandId, copyNumber, order};
				return [this.advance(state, name, {type: 'copy-sent'}, {unsentCopy})];
			}

			case 'ask': {
				return [this.readRow(state, name), ...this.requestStop(state, name)];
			}

			case 'read': {
				return [this.readRow(state, name)];
			}

			case 'wait': {
				return lease.version === row.version
					? [this.deliverReport(state, name)]
					: [this.readRow(state, name)];
			}
		}
	}

	private deliverReport(
		state: ExplorationState,
		name: HolderName,
	): ExplorationState {
		const models = state.isLoaded ? ['m'] : [];
		const {nowMs} = state;
		return this.advance(state, name, {type: 'report', atMs: nowMs, models});
	}

	private requestStop(
		state: ExplorationState,
		name: HolderName,
	): ExplorationState[] {
		const other = name === 'a' ? 'b' : 'a';
		const {processState} = state[other];
		const withEvidence = (
			from: ExplorationState,
			evidence: 'stopped' | 'gone',
		) =>
			this.advance(from, name, {
				type: 'predecessor',
				holder: leaseHolder(other),
				evidence,
			});
		if (processState === 'crashed') {
			return [withEvidence(state, 'gone')];
		}

		if (processState === 'paused') {
			return [];
		}

		const {fencingNumber} = state[name].lease.record!;
		const afterRequest = this.advance(state, other, {
			type: 'stop-asked',
			fencingNumber,
		});
		const stopped = this.decisions.hasStopped(
			afterRequest[other].lease,
			state.nowMs,
			leaseSettings,
		);
		return stopped ? [withEvidence(afterRequest, 'stopped')] : [afterRequest];
	}
}
