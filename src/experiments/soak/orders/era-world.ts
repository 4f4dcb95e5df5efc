import {createLogger} from '../../../adapters/system/index.js';
import type {PeerTableStates} from '../../../decisions/fleet/index.js';
import {createStoreSide} from '../../../programs/front/testing/index.js';
import {FakeStoreContent, VirtualTime} from '../../fakes/index.js';
import type {EraScenario, StoreSide} from './era-scenarios.js';
import {sideKey, tableStatesKey} from './era-state-key.js';
import {SteppedRowStore} from './stepped-row-store.js';

/** The VM that reads the store for both, and the other one. */
export const vmNames = ['reader', 'other'] as const;
type VmName = (typeof vmNames)[number];

/** A message between the VMs that has not arrived. */
type Message = {readonly to: VmName} & (
	{readonly relayed: string} | {readonly states: PeerTableStates}
);

/** Formatting lines that nobody reads takes a good part of the time of an exploration. */
const silentLogger = createLogger('test', 'error');
silentLogger.silent = true;

type Vm = {readonly store: SteppedRowStore; readonly side: StoreSide};

/** Time that passes with each step, in milliseconds; longer than the delays before a read. */
const stepMs = 200;
/**
 * Time that passes with each round at the end, in milliseconds: first as in the exploration, then longer than
 * a missing evacuation is held. A read takes up to three rounds, which together are shorter than a missing
 * target is kept for.
 */
const finalRoundsMs = [
	...Array.from({length: 10}, () => stepMs),
	...Array.from({length: 6}, () => 2000),
];

/** Two VMs, their store and the messages between them, advanced one step at a time. */
export class EraWorld {
	/** Creates a world in which both VMs have read the initial rows. */
	static async start(scenario: EraScenario): Promise<EraWorld> {
		const world = new EraWorld(scenario);
		scenario.initial(world.content);
		await world.pass();
		for (const name of vmNames) {
			await world.take(`read ${name}`);
		}

		// The first write that the exploration lets the VMs read, in any order with the rest.
		scenario.kept(world.content);
		world.copy = world.content.copy();
		return world;
	}

	/** Rules that were broken so far. */
	readonly violations: string[] = [];
	private readonly time = new VirtualTime();
	private readonly content = new FakeStoreContent();
	private readonly vms: Readonly<Record<VmName, Vm>>;
	private readonly storeEvents: Array<() => void>;
	/** One beacon is sent at any moment of the exploration; `finish` sends more. */
	private hasBeaconLeft = true;
	/** The VM whose read the store has executed before its next event. */
	private heldName: VmName | undefined;
	private readonly reached = new Set<VmName>();
	private readonly eras = {reader: 0, other: 0};
	private messages: Message[] = [];
	private copy = this.content.copy();

	private constructor(private readonly scenario: EraScenario) {
		this.vms = {reader: this.createVm('reader'), other: this.createVm('other')};
		const {content} = this;
		this.storeEvents = [
			() => {
				scenario.lost(content);
			},
			() => {
				content.restore(this.copy);
			},
			() => {
				scenario.rewrite(content);
			},
		];
	}

	/** True once all writes, and the return from the copy, have happened. */
	get isStoreDone(): boolean {
		return this.storeEvents.length === 0;
	}

	/**
	 * Steps that are possible now. That the store executes a read commutes with all steps but the store's own
	 * events, so a read is executed when it returns, or right before such an event.
	 */
	steps(): string[] {
		const {other} = this.vms;
		if (this.heldName !== undefined) {
			const canHoldOther = this.heldName === 'reader' && other.store.canExecute;
			return canHoldOther ? ['store', 'hold other'] : ['store'];
		}

		const steps = this.messages.map((_, index) => `deliver ${index}`);
		for (const name of vmNames) {
			const {canExecute, canReturn} = this.vms[name].store;
			if (canExecute || canReturn) {
				steps.push(`read ${name}`);
			}

			if (canExecute && !this.isStoreDone) {
				steps.push(`hold ${name}`);
			}
		}

		if (!this.isStoreDone) {
			steps.push('store');
		}

		if (this.hasBeaconLeft) {
			steps.push('beacon');
		}

		return steps;
	}

	/** Takes a step, then lets the VMs act on it. */
	async take(step: string): Promise<void> {
		const [kind, argument] = step.split(' ');
		const name = argument as VmName;
		switch (kind) {
			case 'store': {
				this.heldName = undefined;
				this.storeEvents.shift()?.();
				break;
			}

			case 'hold': {
				this.heldName = name;
				this.vms[name].store.execute();
				break;
			}

			case 'read': {
				this.read(name);
				break;
			}

			case 'beacon': {
				this.hasBeaconLeft = false;
				this.sendBeacon('reader');
				break;
			}

			default: {
				const [message] = this.messages.splice(Number(argument), 1);
				this.deliver(message);
			}
		}

		await this.pass();
		this.check();
	}

	/** Loses all messages on their way, then lets beacons and reads go on for a while, and checks the end. */
	async finish(): Promise<void> {
		this.messages = [];
		for (const roundMs of finalRoundsMs) {
			for (const name of vmNames) {
				this.sendBeacon(name);
			}

			for (const message of this.messages.splice(0)) {
				this.deliver(message);
			}

			for (const name of vmNames) {
				this.read(name);
				this.vms[name].side.directory.tick();
			}

			await this.pass(roundMs);
			this.check();
		}

		for (const name of vmNames) {
			const state = this.scenario.stateOf(this.vms[name].side);
			if (state !== this.scenario.finalState) {
				this.violations.push(`${name} ends with "${state}"`);
			}
		}
	}

	/** Identifies the state, apart from the time; worlds with the same key behave alike. */
	key(): string {
		const messages = this.messages
			.map((message) =>
				'states' in message
					? message.to + tableStatesKey(message.states)
					: message.to + message.relayed,
			)
			.sort();
		return [
			this.endKey(),
			...messages,
			this.hasBeaconLeft,
			this.heldName,
			this.storeEvents.length,
		].join('\n');
	}

	/** Identifies what `finish` starts from. */
	endKey(): string {
		const vms = vmNames.map((name) => {
			const {store, side} = this.vms[name];
			const state = this.scenario.stateOf(side);
			return [store.label, sideKey(side), state, this.reached.has(name)].join(
				'|',
			);
		});
		return vms.join('\n');
	}

	dispose(): void {
		for (const name of vmNames) {
			this.vms[name].side.watch.dispose();
		}
	}

	private createVm(name: VmName): Vm {
		const store = new SteppedRowStore(this.content, this.scenario.table);
		const side = createStoreSide({
			time: this.time,
			store,
			isReader: name === 'reader',
			maxAgeMs: Infinity,
			logger: silentLogger,
			send: (relayed) => {
				if (name === 'reader' && relayed.startsWith(this.scenario.relayed)) {
					this.messages.push({to: 'other', relayed});
				}
			},
		});
		return {store, side};
	}

	/** Lets the read in progress return, and the store execute it before if it has not. */
	private read(name: VmName): void {
		const {store} = this.vms[name];
		if (store.isWaiting) {
			store.execute();
		}

		store.return();
	}

	private sendBeacon(name: VmName): void {
		const states = this.vms[name].side.tableStates();
		const to = name === 'reader' ? 'other' : 'reader';
		this.messages.push({to, states});
	}

	private deliver(message: Message): void {
		const {side} = this.vms[message.to];
		if ('states' in message) {
			side.handleBeacon(message.states);
		} else {
			side.relay.handle(JSON.parse(message.relayed));
		}
	}

	private async pass(passedMs = stepMs): Promise<void> {
		await this.time.runUntil(this.time.nowMs() + passedMs);
	}

	private check(): void {
		const {lastingState, finalState, stateOf, table} = this.scenario;
		for (const name of vmNames) {
			const {side} = this.vms[name];
			const state = stateOf(side);
			if (this.reached.has(name) && state !== finalState) {
				this.violations.push(`${name} falls back to "${state}"`);
			}

			if (state === lastingState) {
				this.reached.add(name);
			}

			const {configuration, targets} = side.tableStates();
			const {era} = (table === 'op' ? configuration : targets).revision;
			if (era < this.eras[name]) {
				this.violations.push(`${name} returns to era ${era}`);
			}

			this.eras[name] = era;
		}
	}
}
