import {
	createEmitter,
	type Event,
	type TargetActivity,
} from '../../common/index.js';
import {groupScope, isSumScope} from './entry-scope.js';
import type {Membership} from './membership-types.js';
import {sumRoleOf} from './sum-role.js';
import type {SharedEntry} from './types.js';

/** Identity of the VM and the membership that carries the entries. */
export type ActivityExchangeOptions = {
	readonly self: string;
	readonly region: string;
	readonly membership: Membership;
};

/** Shares this VM's activity at targets with peers, and sums up the activity of the region's other VMs. */
export type ActivityExchange = {
	/** Fires with the id of a target at which the activity of other VMs changed. */
	readonly onChange: Event<string>;
	/** Number of stored activities, counted for each scope and target. */
	readonly size: number;
	/** Publishes activities that changed enough; call about once a second. */
	publish(ownActivity: readonly TargetActivity[], nowMs: number): void;
	/** Activity at a target of all other VMs in the region that are not silent. */
	peerActivity(targetId: string, nowMs: number): TargetActivity;
};

// Smaller changes do not affect placement.
const minChangeTokens = 500;
const changeFraction = 0.1;
const sumIntervalMs = 5000;

// A group's sum no longer counts when none has arrived from the group for this long.
const sumLifetimeMs = 30_000;

const noActivity = (targetId: string): TargetActivity => ({
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

// True if an activity changed enough since it was last published to be published again.
function hasChangedEnough(
	current: TargetActivity,
	last: TargetActivity,
	backlogFactor: number,
): boolean {
	const change =
		Math.abs(current.openTokens - last.openTokens) +
		Math.abs(current.expectedGrowthTokens - last.expectedGrowthTokens);
	const size = last.openTokens + last.expectedGrowthTokens;
	return (
		change > backlogFactor * Math.max(minChangeTokens, changeFraction * size) ||
		(current.openCount === 0) !== (last.openCount === 0) ||
		Math.abs(current.openCount - last.openCount) >
			backlogFactor * changeFraction * last.openCount
	);
}

const valuesOf = (activity: TargetActivity) => [
	activity.openCount,
	Math.round(activity.openTokens),
	Math.round(activity.expectedGrowthTokens),
];

export function createActivityExchange(
	options: ActivityExchangeOptions,
): ActivityExchange {
	const {membership, self} = options;
	const {directory, selector} = membership;
	const emitter = createEmitter<string>();
	const published = new Map<string, TargetActivity>();
	const activityByTarget = new Map<string, Map<string, TargetActivity>>();
	const sumReceivedAtMs = new Map<string, number>();
	let lastSumsAtMs = Number.NEGATIVE_INFINITY;
	// Time of the latest call of `publish`, taken as the current time when an entry arrives.
	let lastPublishMs = 0;

	const isCounted = (scope: string, nowMs: number) =>
		isSumScope(scope)
			? scope !== groupScope(selector.group) &&
				nowMs - (sumReceivedAtMs.get(scope) ?? 0) <= sumLifetimeMs
			: directory.stateOf(scope, nowMs) !== 'silent';

	const sum = (
		targetId: string,
		nowMs: number,
		includes: (scope: string) => boolean,
	) => {
		let total = noActivity(targetId);
		for (const [scope, activity] of activityByTarget.get(targetId) ?? []) {
			if (includes(scope) && isCounted(scope, nowMs)) {
				total = add(total, activity);
			}
		}

		return total;
	};

	const removeActivity = (scope: string, targetId: string) => {
		const scopes = activityByTarget.get(targetId);
		scopes?.delete(scope);
		if (scopes?.size === 0) {
			activityByTarget.delete(targetId);
		}
	};

	const applyEntry = ({scope, key, values}: SharedEntry) => {
		const [openCount = 0, openTokens = 0, expectedGrowthTokens = 0] = values;
		if (isSumScope(scope)) {
			sumReceivedAtMs.set(scope, lastPublishMs);
		}

		if (openCount === 0 && openTokens === 0) {
			removeActivity(scope, key);
		} else {
			const scopes =
				activityByTarget.get(key) ?? new Map<string, TargetActivity>();
			const activity = {
				targetId: key,
				openCount,
				openTokens,
				expectedGrowthTokens,
			};
			scopes.set(scope, activity);
			activityByTarget.set(key, scopes);
		}

		emitter.fire(key);
	};

	membership.onEntryAccepted((entry) => {
		if (entry.kind === 'activity') {
			applyEntry(entry);
		}
	});
	membership.onProcessEnded((name) => {
		for (const targetId of activityByTarget.keys()) {
			removeActivity(name, targetId);
		}
	});

	const backlogFactorOf = (activity: TargetActivity) =>
		membership.backlogFactor('activity', valuesOf(activity));

	const publishOwn = (ownActivity: readonly TargetActivity[]) => {
		const ended = new Set(published.keys());
		for (const activity of ownActivity) {
			const {targetId} = activity;
			ended.delete(targetId);
			if (
				hasChangedEnough(
					activity,
					published.get(targetId) ?? noActivity(targetId),
					backlogFactorOf(activity),
				)
			) {
				published.set(targetId, activity);
				membership.publish('activity', targetId, valuesOf(activity));
			}
		}

		for (const targetId of ended) {
			published.delete(targetId);
			membership.publish('activity', targetId, [0, 0, 0]);
		}
	};

	const publishSums = (
		ownActivity: readonly TargetActivity[],
		nowMs: number,
	) => {
		const role = sumRoleOf(self, options.region, membership, nowMs);
		if (!role.isGroupPublisher || !role.hasOtherGroups) {
			return;
		}

		const scope = groupScope(selector.group);
		const ownByTarget = new Map(
			ownActivity.map((activity) => [activity.targetId, activity]),
		);
		// While any target has open requests, at least one sum is published each time even without a change, so that
		// the group's sums don't expire.
		let isSumRenewed = false;
		for (const targetId of new Set([
			...ownByTarget.keys(),
			...activityByTarget.keys(),
		])) {
			const others = sum(targetId, nowMs, (source) => !isSumScope(source));
			const total = add(
				others,
				ownByTarget.get(targetId) ?? noActivity(targetId),
			);
			const known = membership.entries.get('activity', scope, targetId);
			const [openCount = 0, openTokens = 0, expectedGrowthTokens = 0] =
				known?.values ?? [];
			const last = {targetId, openCount, openTokens, expectedGrowthTokens};
			const mustRenew = !isSumRenewed && total.openCount > 0;
			if (mustRenew || hasChangedEnough(total, last, backlogFactorOf(total))) {
				isSumRenewed = true;
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
			for (const scopes of activityByTarget.values()) {
				size += scopes.size;
			}

			return size;
		},
		publish(ownActivity, nowMs) {
			lastPublishMs = nowMs;
			publishOwn(ownActivity);
			if (nowMs - lastSumsAtMs >= sumIntervalMs) {
				lastSumsAtMs = nowMs;
				publishSums(ownActivity, nowMs);
			}
		},
		peerActivity(targetId, nowMs) {
			return sum(targetId, nowMs, () => true);
		},
	};
}
