import type {RandomSource, TargetDescription} from '../../common/index.js';

/** State of all targets as known to one entry VM. */
export type TargetTable = {
	/** Replaces the descriptions; the state of targets that remain is kept. */
	update(descriptions: ReadonlyMap<string, TargetDescription>): void;
	/** Marks a target as leaving: it takes no new work. */
	markLeaving(targetId: string): void;
	/** Reverts `markLeaving`: a new VM instance has taken its place. */
	markReturned(targetId: string): void;
	/**
	 * Sends no new work to a failed target for some time.
	 * @param untilMs - monotonic time in milliseconds
	 */
	eject(targetId: string, untilMs: number): void;
	/**
	 * Chooses a target of a plain service at random.
	 * @param avoid - ids of targets to choose only if there is no other
	 * @returns the id of the target, or undefined if none takes new work
	 */
	chooseTarget(
		service: string,
		nowMs: number,
		avoid?: ReadonlySet<string>,
	): string | undefined;
	/** Ids of the targets of each plain service. */
	services(): ReadonlyMap<string, readonly string[]>;
	/** True if some target offers the model or service, even if none takes new work now. */
	offers(kind: 'model' | 'service', name: string): boolean;
};

type TargetState = {
	description: TargetDescription;
	leaving: boolean;
	ejectedUntilMs: number;
};

export function createTargetTable(random: RandomSource): TargetTable {
	const targets = new Map<string, TargetState>();

	const matches = (
		state: TargetState,
		kind: 'model' | 'service',
		name: string,
	) =>
		kind === 'model'
			? state.description.kind === 'engine' &&
				state.description.models.includes(name)
			: state.description.kind === 'service' &&
				state.description.service === name;

	const chooseTarget = (
		service: string,
		nowMs: number,
		avoid?: ReadonlySet<string>,
	) => {
		const all = [...targets.values()].filter(
			(state) =>
				!state.leaving &&
				state.ejectedUntilMs <= nowMs &&
				matches(state, 'service', service),
		);
		const preferred = all.filter((state) => !avoid?.has(state.description.id));
		const usable = preferred.length > 0 ? preferred : all;
		return usable.length === 0
			? undefined
			: usable[random.nextInt(usable.length)];
	};

	return {
		update(descriptions) {
			for (const id of targets.keys()) {
				if (!descriptions.has(id)) {
					targets.delete(id);
				}
			}

			for (const [id, description] of descriptions) {
				const state = targets.get(id);
				if (state) {
					state.description = description;
				} else {
					targets.set(id, {
						description,
						leaving: false,
						ejectedUntilMs: 0,
					});
				}
			}
		},
		markLeaving(targetId) {
			const state = targets.get(targetId);
			if (state) {
				state.leaving = true;
			}
		},
		markReturned(targetId) {
			const state = targets.get(targetId);
			if (state) {
				state.leaving = false;
			}
		},
		eject(targetId, untilMs) {
			const state = targets.get(targetId);
			if (state) {
				state.ejectedUntilMs = untilMs;
			}
		},
		chooseTarget(service, nowMs, avoid) {
			return chooseTarget(service, nowMs, avoid)?.description.id;
		},
		services() {
			const found = new Map<string, string[]>();
			for (const [id, {description}] of targets) {
				if (description.kind === 'service') {
					const ids = found.get(description.service) ?? [];
					found.set(description.service, [...ids, id]);
				}
			}

			return found;
		},
		offers(kind, name) {
			return [...targets.values()].some((state) => matches(state, kind, name));
		},
	};
}
