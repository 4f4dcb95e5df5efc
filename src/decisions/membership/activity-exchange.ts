import {
	createEmitter,
	type Event,
	type TargetActivity,
} from '../../common/index.js';
import {groupScope, isSumScope} from './entry-scope.js';
import type {Membership} from './membership-types.js';
import {sumRoleOf} from './sum-role.js';
import type {SharedEntry} from './types.js';

/** What the exchange works with. */
export type ActivityExchangeOptions = {
	readonly self: string;
	readonly region: string;
	readonly membership: Membership;
};

/** Tells peers what runs at targets from here, and says what runs there from elsewhere in the region. */
export type ActivityExchange = {
	/** Fires with the id of a target whose activity by others changed. */
	readonly onChange: Event<string>;
	/** Number of figures held. */
	readonly size: number;
	/** Shares what has changed; call about once a second. */
	publish(own: readonly TargetActivity[], nowMs: number): void;
	/** Sum over all other VMs that are not silent. */
	peerActivity(targetId: string, nowMs: number): TargetActivity;
};

// A change of fewer tokens does not alter a placement.
const leastChangeTokens = 500;
const changePart = 0.1;
const sumIntervalMs = 5000;

// The sum of a group that is no longer heard of.
const sumLifetimeMs = 30_000;

const empty = (targetId: string): TargetActivity => ({
	targetId,
	openCount: 0,
	openTokens: 0,
	expectedGrowthTokens: 0,
});

function add(one: TargetActivity, other: TargetActivity): TargetActivity {
	return {
		targetId: one.targetId,
		openCount: one.openCount + other.openCount,
		openTokens: one.openTokens + other.openTokens,
		expectedGrowthTokens: one.expectedGrowthTokens + other.expectedGrowthTokens,
	};
}

function differs(
	one: TargetActivity,
	other: TargetActivity,
	pressure: number,
): boolean {
	const change =
		Math.abs(one.openTokens - other.openTokens) +
		Math.abs(one.expectedGrowthTokens - other.expectedGrowthTokens);
	const size = other.openTokens + other.expectedGrowthTokens;
	return (
		change > pressure * Math.max(leastChangeTokens, changePart * size) ||
		(one.openCount === 0) !== (other.openCount === 0) ||
		Math.abs(one.openCount - other.openCount) >
			pressure * changePart * other.openCount
	);
}

const valuesOf = (activity: TargetActivity) => [
	activity.openCount,
	Math.round(activity.openTokens),
	Math.round(activity.expectedGrowthTokens),
];

/** Creates the exchange and begins to listen to peers. */
export function createActivityExchange(
	options: ActivityExchangeOptions,
): ActivityExchange {
	const {membership, self} = options;
	const {directory, selector} = membership;
	const emitter = createEmitter<string>();
	const published = new Map<string, TargetActivity>();
	const targets = new Map<string, Map<string, TargetActivity>>();
	const sumHeardAtMs = new Map<string, number>();
	let sumsAtMs = Number.NEGATIVE_INFINITY;
	let latestMs = 0;

	const counts = (scope: string, nowMs: number) =>
		isSumScope(scope)
			? scope !== groupScope(selector.group) &&
				nowMs - (sumHeardAtMs.get(scope) ?? 0) <= sumLifetimeMs
			: directory.stateOf(scope, nowMs) !== 'silent';

	const sum = (
		targetId: string,
		nowMs: number,
		includes: (scope: string) => boolean,
	) => {
		let total = empty(targetId);
		for (const [scope, activity] of targets.get(targetId) ?? []) {
			if (includes(scope) && counts(scope, nowMs)) {
				total = add(total, activity);
			}
		}

		return total;
	};

	const drop = (scope: string, targetId: string) => {
		const scopes = targets.get(targetId);
		scopes?.delete(scope);
		if (scopes?.size === 0) {
			targets.delete(targetId);
		}
	};

	const take = ({scope, key, values}: SharedEntry) => {
		const [openCount = 0, openTokens = 0, expectedGrowthTokens = 0] = values;
		if (isSumScope(scope)) {
			sumHeardAtMs.set(scope, latestMs);
		}

		if (openCount === 0 && openTokens === 0) {
			drop(scope, key);
		} else {
			const scopes = targets.get(key) ?? new Map<string, TargetActivity>();
			const activity = {
				targetId: key,
				openCount,
				openTokens,
				expectedGrowthTokens,
			};
			scopes.set(scope, activity);
			targets.set(key, scopes);
		}

		emitter.fire(key);
	};

	membership.onEntryAccepted((entry) => {
		if (entry.kind === 'activity') {
			take(entry);
		}
	});
	membership.onProcessEnded((name) => {
		for (const targetId of targets.keys()) {
			drop(name, targetId);
		}
	});

	const pressureOn = (activity: TargetActivity) =>
		membership.backlogFactor('activity', valuesOf(activity));

	const publishOwn = (own: readonly TargetActivity[]) => {
		const gone = new Set(published.keys());
		for (const activity of own) {
			const {targetId} = activity;
			gone.delete(targetId);
			if (
				differs(
					activity,
					published.get(targetId) ?? empty(targetId),
					pressureOn(activity),
				)
			) {
				published.set(targetId, activity);
				membership.publish('activity', targetId, valuesOf(activity));
			}
		}

		for (const targetId of gone) {
			published.delete(targetId);
			membership.publish('activity', targetId, [0, 0, 0]);
		}
	};

	const publishSums = (own: readonly TargetActivity[], nowMs: number) => {
		const role = sumRoleOf(self, options.region, membership, nowMs);
		if (!role.isGroupPublisher || !role.hasOtherGroups) {
			return;
		}

		const scope = groupScope(selector.group);
		const ownById = new Map(own.map((one) => [one.targetId, one]));
		// One sum is renewed even without a change, so that the group is heard of.
		let isRenewed = false;
		for (const targetId of new Set([...ownById.keys(), ...targets.keys()])) {
			const others = sum(targetId, nowMs, (source) => !isSumScope(source));
			const total = add(others, ownById.get(targetId) ?? empty(targetId));
			const known = membership.entries.get('activity', scope, targetId);
			const [openCount = 0, openTokens = 0, expectedGrowthTokens = 0] =
				known?.values ?? [];
			const last = {targetId, openCount, openTokens, expectedGrowthTokens};
			const renews = !isRenewed && total.openCount > 0;
			if (renews || differs(total, last, pressureOn(total))) {
				isRenewed = true;
				membership.publishEntry({
					scope,
					kind: 'activity',
					key: targetId,
					incarnation: (known?.incarnation ?? 0) + 1,
					counter: 0,
					values: valuesOf(total),
				});
			}
		}
	};

	return {
		onChange: emitter.event,
		get size() {
			let size = 0;
			for (const scopes of targets.values()) {
				size += scopes.size;
			}

			return size;
		},
		publish(own, nowMs) {
			latestMs = nowMs;
			publishOwn(own);
			if (nowMs - sumsAtMs >= sumIntervalMs) {
				sumsAtMs = nowMs;
				publishSums(own, nowMs);
			}
		},
		peerActivity(targetId, nowMs) {
			return sum(targetId, nowMs, () => true);
		},
	};
}
