import type {RandomSource, TargetDescription} from '../../common/index.js';

/** Targets as one entry VM sees them. */
export type TargetTable = {
	/** Replaces the descriptions, keeping what is known of targets that stay. */
	update(descriptions: ReadonlyMap<string, TargetDescription>): void;
	/** Marks a target that takes no new work. */
	markLeaving(targetId: string): void;
	/** Takes the mark back, since the target runs on a new instance. */
	markReturned(targetId: string): void;
	/**
	 * Keeps a failed target out until a time.
	 * @param untilMs - monotonic time in milliseconds
	 */
	eject(targetId: string, untilMs: number): void;
	/**
	 * Chooses a target of a plain service.
	 * @param avoid - ids of targets to choose only if there is no other
	 */
	chooseTarget(
		service: string,
		nowMs: number,
		avoid?: ReadonlySet<string>,
	): string | undefined;
	/** Ids of the targets of each plain service. */
	services(): ReadonlyMap<string, readonly string[]>;
	/** True if some target offers the model or service. */
	offers(kind: 'model' | 'service', name: string): boolean;
};

type TargetState = {
	description: TargetDescription;
	leaving: boolean;
	ejectedUntilMs: number;
};

/** Creates an empty table. */
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

	const place = (
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
			return place(service, nowMs, avoid)?.description.id;
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
