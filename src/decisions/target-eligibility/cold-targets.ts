import {
	type Clock,
	createEmitter,
	type Disposable,
	type Event,
	type TargetEntry,
} from '../../common/index.js';

/** How a service's targets are limited while they are cold. */
export type ColdRule = {
	/** Requests per second that a cold target may get from all VMs together. */
	readonly requestsPerSecond: number;
	/** Time for which a target is cold after its start or return, in milliseconds. */
	readonly coldMs: number;
};

/** Why a target counts as cold: by its row, by a response, or since it may be without having said so yet. */
export type ColdSource = 'response' | 'return' | 'row';

/** A target starts to count as cold, or stops. */
export type ColdChange =
	| {
			readonly targetId: string;
			readonly change: 'begins';
			readonly source: ColdSource;
			/** Time for which it counts as cold, in milliseconds; Infinity while it refuses connections. */
			readonly forMs: number;
	  }
	| {readonly targetId: string; readonly change: 'ends'};

/**
 * Targets that are cold for some time after their start or return, as far as this VM knows it. A target states
 * the remaining time in its row and in responses, but its row may be old. It therefore also counts as cold from
 * the end of its zone's evacuation, and from the moment at which it responds after it has refused a connection,
 * until it can have said otherwise.
 */
export type ColdTargets = Disposable & {
	/** Fires within the interval of `tick`. */
	readonly onChanged: Event<ColdChange>;
	/** Requests per second that the target may get from all VMs; undefined if it is not cold. */
	limitOf(targetId: string): number | undefined;
	/**
	 * Records what a response says.
	 * @param coldMs - remaining time, in milliseconds; 0 if the response names none
	 */
	recordResponse(target: TargetEntry, coldMs: number): void;
	/** Records that the target has refused a connection. */
	recordRefusal(target: TargetEntry): void;
	/** Records that the targets of an availability zone are used again. */
	recordZoneReturn(availabilityZone: string): void;
	/** Reports changes and removes the state of targets that have left; called at regular intervals. */
	tick(): void;
};

export type ColdTargetsOptions = {
	readonly clock: Clock;
	/** Current entries of the targets; a new row of a target is a new object. */
	readonly entries: () => Iterable<TargetEntry>;
	readonly entryOf: (targetId: string) => TargetEntry | undefined;
	/** Undefined for a service whose targets are not limited while they are cold. */
	readonly ruleOf: (service: string) => ColdRule | undefined;
	/** Time after which a target's row shows its state at the latest, in milliseconds. */
	readonly rowDelayMs: number;
};

type ColdState = {
	entry: TargetEntry;
	/** Monotonic time at which this VM saw the newest row, in milliseconds. */
	rowMs: number;
	/** Monotonic time until which the target is cold by its own statement, in milliseconds. */
	statedUntilMs: number;
	statedBy: 'response' | 'row';
	/** True if the target has refused a connection and has not responded since. */
	hasRefused: boolean;
	/** Monotonic time at which it responded after a refusal, in milliseconds. */
	respondedMs: number;
	/** True while the target was reported as cold. */
	isReported: boolean;
};

/** Until when a target counts as cold, and why. */
type ColdSpan = {readonly untilMs: number; readonly source: ColdSource};

/** Creates a state in which no target is known to be cold. */
export function createColdTargets(options: ColdTargetsOptions): ColdTargets {
	const {clock} = options;
	const changed = createEmitter<ColdChange>();
	const states = new Map<string, ColdState>();
	/** Monotonic times at which the targets of zones were taken back into use, in milliseconds. */
	const zoneReturnMs = new Map<string, number>();

	const newState = (entry: TargetEntry, isReported: boolean): ColdState => ({
		entry,
		rowMs: clock.nowMs(),
		statedUntilMs: clock.nowMs() + entry.warmingMs,
		statedBy: 'row',
		hasRefused: false,
		respondedMs: -Infinity,
		isReported,
	});

	const applyRow = (state: ColdState, entry: TargetEntry) => {
		const nowMs = clock.nowMs();
		state.entry = entry;
		state.rowMs = nowMs;
		// A row without a remaining time may be older than a response that names one.
		if (entry.warmingMs > 0 || state.statedBy === 'row') {
			state.statedUntilMs = nowMs + entry.warmingMs;
			state.statedBy = 'row';
		}
	};

	/** The state brought up to the newest row of the target. */
	const stateOf = (entry: TargetEntry): ColdState => {
		const state = states.get(entry.id);
		if (state?.entry === entry) {
			return state;
		}

		if (state && state.entry.bornMs === entry.bornMs) {
			applyRow(state, entry);
			return state;
		}

		const added = newState(entry, state?.isReported ?? false);
		states.set(entry.id, added);
		return added;
	};

	/** State of a target's current incarnation; undefined if it has left or restarted. */
	const currentStateOf = ({id, bornMs}: TargetEntry) => {
		const entry = options.entryOf(id);
		return entry?.bornMs === bornMs && entry ? stateOf(entry) : undefined;
	};

	/** Until when a target that has returned may be cold without having said so. */
	const returnSpan = (state: ColdState, rule: ColdRule): ColdSpan => {
		const source = 'return';
		if (state.hasRefused) {
			return {untilMs: Infinity, source};
		}

		const zoneMs = zoneReturnMs.get(state.entry.availabilityZone) ?? -Infinity;
		const returnMs = Math.max(state.respondedMs, zoneMs);
		const isRowNewer = state.rowMs > returnMs + options.rowDelayMs;
		return {
			untilMs: isRowNewer
				? -Infinity
				: returnMs + options.rowDelayMs + rule.coldMs,
			source,
		};
	};

	const spanOf = (state: ColdState, rule: ColdRule): ColdSpan => {
		const returned = returnSpan(state, rule);
		return returned.untilMs > state.statedUntilMs
			? returned
			: {untilMs: state.statedUntilMs, source: state.statedBy};
	};

	const report = (entry: TargetEntry) => {
		const state = stateOf(entry);
		const rule = options.ruleOf(entry.service);
		const span = rule && spanOf(state, rule);
		const forMs = (span?.untilMs ?? -Infinity) - clock.nowMs();
		const isCold = forMs > 0;
		if (isCold === state.isReported) {
			return;
		}

		state.isReported = isCold;
		const targetId = entry.id;
		changed.fire(
			span && isCold
				? {targetId, change: 'begins', source: span.source, forMs}
				: {targetId, change: 'ends'},
		);
	};

	return {
		onChanged: changed.event,
		limitOf(targetId) {
			const entry = options.entryOf(targetId);
			const rule = entry && options.ruleOf(entry.service);
			if (!rule) {
				return undefined;
			}

			const {untilMs} = spanOf(stateOf(entry), rule);
			return untilMs > clock.nowMs() ? rule.requestsPerSecond : undefined;
		},
		recordResponse(target, coldMs) {
			const state = currentStateOf(target);
			const nowMs = clock.nowMs();
			if (!state) {
				return;
			}

			if (state.hasRefused) {
				state.hasRefused = false;
				state.respondedMs = nowMs;
			}

			if (coldMs > 0) {
				state.statedUntilMs = nowMs + coldMs;
				state.statedBy = 'response';
			}
		},
		recordRefusal(target) {
			const state = currentStateOf(target);
			if (state) {
				state.hasRefused = true;
			}
		},
		recordZoneReturn(availabilityZone) {
			zoneReturnMs.set(availabilityZone, clock.nowMs());
		},
		tick() {
			const present = new Set<string>();
			for (const entry of options.entries()) {
				present.add(entry.id);
				report(entry);
			}

			for (const [targetId, {isReported}] of states) {
				if (!present.has(targetId)) {
					states.delete(targetId);
					if (isReported) {
						changed.fire({targetId, change: 'ends'});
					}
				}
			}
		},
		dispose() {
			changed.dispose();
		},
	};
}
