import {createEmitter, type Event, type VmEntry} from '../../common/index.js';
import type {Membership} from './membership-types.js';
import type {SharedEntry} from './types.js';

/** Targets that take no new work because they are about to leave. */
export type LeavingTargets = {
	/** Fires when a target starts or stops counting as leaving. */
	readonly onChange: Event<{
		readonly targetId: string;
		readonly leaving: boolean;
	}>;
	readonly targetIds: ReadonlySet<string>;
	/** Takes the VM list: which instance each target runs on, and which of them leave. */
	recordVmList(vms: readonly VmEntry[], atWallMs: number): void;
	/** Takes a sign from the target itself: its load report or an answer. */
	recordLeaving(targetId: string, atWallMs: number): void;
	/** Drops marks that nothing has confirmed for a long time. */
	expire(nowWallMs: number): void;
};

type Mark = {
	readonly targetId: string;
	/** Instance that leaves, or empty if the VM list did not show one. */
	readonly instanceId: string;
	readonly source: 'list' | 'target';
	/** Wall-clock time of the latest sign, in milliseconds. */
	signedAtMs: number;
};

type Instance = {readonly instanceId: string; readonly sinceMs: number};

// A leaving VM stays in the list until it is gone, so its mark needs no early expiry.
const listMarkMs = 15 * 60_000;

// A sign of the target itself may be late and then hit a new instance; repeated signs renew it.
const targetMarkMs = 120_000;

// The VM list may show an instance this long after it took over: a sign given shortly before may mean it.
const listLagMs = 10_000;

// Repeated signs are shared this rarely.
const renewMs = 30_000;
const maxMarks = 4096;
const maxClockSkewMs = 60_000;

/** Creates marks that are shared through a membership. */
export function createLeavingTargets(
	membership: Membership,
	wallMs: () => number,
): LeavingTargets {
	const emitter = createEmitter<{
		readonly targetId: string;
		readonly leaving: boolean;
	}>();
	const marks = new Map<string, Mark>();
	const instances = new Map<string, Instance>();
	const targetIds = new Set<string>();
	const ownSignsAtMs = new Map<string, number>();

	const applies = (mark: Mark): boolean => {
		const current = instances.get(mark.targetId);
		if (!current) {
			return true;
		}

		if (mark.instanceId === current.instanceId) {
			return true;
		}

		if (mark.source === 'list') {
			return false;
		}

		const isOlder = current.sinceMs <= mark.signedAtMs;
		const mayMeanCurrent =
			current.sinceMs - mark.signedAtMs <= listLagMs &&
			wallMs() - mark.signedAtMs <= listLagMs;
		return (mark.instanceId === '' && isOlder) || mayMeanCurrent;
	};

	const evaluate = (targetId: string) => {
		const isLeaving = [...marks.values()].some(
			(mark) => mark.targetId === targetId && applies(mark),
		);
		if (isLeaving !== targetIds.has(targetId)) {
			if (isLeaving) {
				targetIds.add(targetId);
			} else {
				targetIds.delete(targetId);
			}

			emitter.fire({targetId, leaving: isLeaving});
		}
	};

	const hold = (key: string, mark: Mark) => {
		if (marks.has(key) || marks.size < maxMarks) {
			marks.set(key, mark);
			evaluate(mark.targetId);
		}
	};

	const keyOf = (targetId: string, instanceId: string) =>
		`${targetId} ${instanceId}`;

	const share = (one: Mark) => {
		const key = keyOf(one.targetId, one.instanceId);
		hold(key, one);
		membership.publishEntry({
			scope: '',
			kind: 'leaving',
			key,
			incarnation: one.source === 'list' ? 1 : 0,
			counter: one.signedAtMs,
			values: [],
		});
	};

	// Repeated signs are not shared. If the list shows a new instance right after one, peers have to learn of
	// it, since the sign may have come from that instance.
	const noteInstance = (targetId: string, instanceId: string, atMs: number) => {
		const known = instances.get(targetId);
		instances.set(targetId, {instanceId, sinceMs: atMs});
		const signedAtMs = ownSignsAtMs.get(targetId);
		if (
			known &&
			signedAtMs !== undefined &&
			atMs - signedAtMs <= listLagMs &&
			marks.get(keyOf(targetId, known.instanceId))?.source === 'target'
		) {
			const {instanceId: earlier} = known;
			share({targetId, instanceId: earlier, source: 'target', signedAtMs});
		}

		evaluate(targetId);
	};

	const mark = (
		targetId: string,
		instanceId: string,
		source: Mark['source'],
		atWallMs: number,
	) => {
		const key = keyOf(targetId, instanceId);
		const known = marks.get(key);
		if (
			known &&
			atWallMs - known.signedAtMs < renewMs &&
			(known.source === 'list' || source === 'target')
		) {
			return;
		}

		share({targetId, instanceId, source, signedAtMs: atWallMs});
	};

	const isExpired = (held: Mark, nowWallMs: number) => {
		const ageMs = nowWallMs - held.signedAtMs;
		const lifetimeMs = held.source === 'list' ? listMarkMs : targetMarkMs;
		return ageMs > lifetimeMs || ageMs < -maxClockSkewMs;
	};

	membership.onEntryAccepted((entry: SharedEntry) => {
		if (entry.kind === 'leaving') {
			const [targetId, instanceId = ''] = entry.key.split(' ');
			const source = entry.incarnation === 1 ? 'list' : 'target';
			const signedAtMs = entry.counter;
			const held = {targetId, instanceId, source, signedAtMs} as const;
			if (isExpired(held, wallMs())) {
				// Without this, two VMs that expire a mark at different times would hand it to each other forever.
				membership.entries.remove(entry);
			} else {
				hold(entry.key, held);
			}
		}
	});

	return {
		onChange: emitter.event,
		targetIds,
		recordVmList(vms, atWallMs) {
			const listed = new Set(vms.map((vm) => vm.name));
			for (const name of instances.keys()) {
				if (!listed.has(name) && !targetIds.has(name)) {
					instances.delete(name);
				}
			}

			for (const {role, name, instanceId, state} of vms) {
				if (role === 'entry') {
					continue;
				}

				if (instances.get(name)?.instanceId !== instanceId) {
					noteInstance(name, instanceId, atWallMs);
				}

				if (state === 'leaving') {
					mark(name, instanceId, 'list', atWallMs);
				}
			}
		},
		recordLeaving(targetId, atWallMs) {
			const instanceId = instances.get(targetId)?.instanceId ?? '';
			ownSignsAtMs.set(targetId, atWallMs);
			mark(targetId, instanceId, 'target', atWallMs);
		},
		expire(nowWallMs) {
			for (const [key, held] of marks) {
				if (nowWallMs - held.signedAtMs <= 2 * listLagMs) {
					evaluate(held.targetId);
				}

				if (isExpired(held, nowWallMs)) {
					ownSignsAtMs.delete(held.targetId);
					marks.delete(key);
					const entry = membership.entries.get('leaving', '', key);
					if (entry) {
						membership.entries.remove(entry);
					}

					evaluate(held.targetId);
				}
			}
		},
	};
}
