import type {FencingSupport} from '../../../common/index.js';
import {
	type LeaseDecisions,
	type LeaseEvent,
	type LeaseRecord,
	withIntent,
} from '../../../decisions/leases/index.js';
import {arriveCopy, departCopy} from './exploration-network.js';
import {
	applyWrite,
	firstWorld,
	holder,
	keyOf,
	type Name,
	names,
	settings,
	type Side,
	type World,
} from './exploration-world.js';

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
	states = 0;
	/** Commands of the second holder that took effect. */
	effectsOfB = 0;
	private readonly seen = new Set<string>();

	constructor(
		private readonly fencing: FencingSupport,
		private readonly decisions: LeaseDecisions,
	) {}

	/** Walks through all worlds. */
	run(): this {
		const open = [this.held(firstWorld(this.fencing))];
		for (let world = open.pop(); world; world = open.pop()) {
			const key = keyOf(world);
			if (this.violations.size > 0) {
				return this;
			}

			if (!this.seen.has(key)) {
				this.seen.add(key);
				this.states++;
				open.push(...this.next(world));
			}
		}

		return this;
	}

	/** The first holder has the lease and the second one has seen the row. */
	private held(first: World): World {
		let world = first;
		while (world.a.lease.version !== 1) {
			const step = this.localStep(world, 'a') ?? this.steps(world, 'a')[0];
			world = world.a.write ? applyWrite(world, 'a') : step;
		}

		return this.read(world, 'b');
	}

	// Steps that touch only one side commute with those of the other and are taken first; before the
	// first holder takes one, its fault may hit. Only the first holder may know an old row.
	private localStep(world: World, name: Name): World | undefined {
		const side = world[name];
		if (side.condition !== 'running') {
			return undefined;
		}

		const [first] = this.deliveries(world, name);
		if (first || name === 'a') {
			return first;
		}

		const idle = !side.write && !side.leaving;
		const stale = side.lease.version !== world.row.version;
		return idle && stale ? this.read(world, name) : undefined;
	}

	private next(world: World): World[] {
		for (const name of names) {
			const step = this.localStep(world, name);
			if (step) {
				return [step, ...(name === 'a' ? this.faults(world) : [])];
			}
		}

		const worlds: World[] = [];
		for (const name of names) {
			const side = world[name];
			if (side.write) {
				worlds.push(applyWrite(world, name));
			}

			if (side.condition === 'running') {
				worlds.push(...this.steps(world, name));
			}
		}

		for (const index of world.network.keys()) {
			const next = arriveCopy(world, index, this.fencing, this.violations);
			this.effectsOfB += next.lastEffect?.commandId === 'b' ? 1 : 0;
			worlds.push(next);
		}

		worlds.push(...this.faults(world));
		const lateMs = world.nowMs + settings.durationMs;
		const tooLate =
			world.network.length > 0 &&
			world.crashedMs !== undefined &&
			lateMs - world.crashedMs >= settings.lateCopyMs;
		// A holder without a fault renews in time, so the lease runs out only after one.
		const runsOut =
			world.faultUsed &&
			lateMs <= maxJumps[this.fencing] * settings.durationMs &&
			!tooLate;
		if (runsOut) {
			worlds.push({...world, nowMs: lateMs});
		}

		return worlds;
	}

	private faults(world: World): World[] {
		if (world.a.condition === 'paused') {
			return [{...world, a: {...world.a, condition: 'running'}}];
		}

		return world.faultUsed
			? []
			: [
					{...world, faultUsed: true, a: {...world.a, condition: 'paused'}},
					{
						...world,
						faultUsed: true,
						crashedMs: world.nowMs,
						a: {...world.a, condition: 'crashed'},
					},
				];
	}

	private advance(
		world: World,
		name: Name,
		event: LeaseEvent,
		change: Partial<Side> = {},
	): World {
		const side = world[name];
		const lease = this.decisions.advance(
			side.lease,
			event,
			world.nowMs,
			settings,
		);
		return {...world, [name]: {...side, ...change, lease}};
	}

	private read(world: World, name: Name): World {
		const {record, version} = world.row;
		return this.advance(world, name, {type: 'row-seen', record, version});
	}

	private deliveries(world: World, name: Name): World[] {
		const side = world[name];
		const worlds: World[] = [];
		if (side.result) {
			worlds.push(this.advance(world, name, side.result, {result: undefined}));
		}

		for (const [index, answer] of world.answers.entries()) {
			if (answer.from === name) {
				const answers = world.answers.toSpliced(index, 1);
				const outcome = answer.accepted ? 'accepted' : 'refused';
				const {commandId, copyNumber} = answer;
				const event = {type: 'copy-ended', commandId, copyNumber, outcome};
				worlds.push(
					this.advance({...world, answers}, name, event as LeaseEvent),
				);
			}
		}

		return worlds;
	}

	private steps(world: World, name: Name): World[] {
		const side = world[name];
		if (side.leaving) {
			return [departCopy(world, name, this.fencing, this.violations)];
		}

		const isWaiting = side.write !== undefined || side.result !== undefined;
		return isWaiting ? [] : this.decide(world, name);
	}

	private decide(world: World, name: Name): World[] {
		const {lease, announced} = world[name];
		const {nowMs, row} = world;
		const write = (record: LeaseRecord, change: Partial<Side> = {}) =>
			this.advance(
				world,
				name,
				{type: 'write-started', record},
				{
					...change,
					write: {record, version: lease.version},
				},
			);
		if (this.decisions.mayAnnounce(lease, nowMs, settings) && !announced) {
			const kind = name === 'a' ? 'load-model' : 'unload-model';
			const order = {kind, name: 'm', version: '1'} as const;
			const command = {commandId: name, order, cause: 'test'};
			return [write(withIntent(lease.record!, command), {announced: true})];
		}

		const action = this.decisions.decide(lease, nowMs, settings);
		switch (action.kind) {
			case 'write': {
				// The first holder does not come back, so that the exploration ends.
				return name === 'a' && action.purpose === 'take' && lease.version > 0
					? []
					: [write(action.record)];
			}

			case 'send': {
				const {commandId, copyNumber, order} = action;
				const leaving = {from: name, commandId, copyNumber, order};
				return [this.advance(world, name, {type: 'copy-sent'}, {leaving})];
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

	private report(world: World, name: Name): World {
		const models = world.loaded ? ['m'] : [];
		const {nowMs} = world;
		return this.advance(world, name, {type: 'report', atMs: nowMs, models});
	}

	private ask(world: World, name: Name): World[] {
		const other = name === 'a' ? 'b' : 'a';
		const {condition} = world[other];
		const told = (from: World, evidence: 'stopped' | 'gone') =>
			this.advance(from, name, {
				type: 'predecessor',
				holder: holder(other),
				evidence,
			});
		if (condition === 'crashed') {
			return [told(world, 'gone')];
		}

		if (condition === 'paused') {
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
			settings,
		);
		return stopped ? [told(asked, 'stopped')] : [asked];
	}
}
