import {configurationRow, targetRow} from '../../../platform/testing/index.js';
import type {createStoreSide} from '../../../programs/front/testing/index.js';
import type {FakeStoreContent} from '../../fakes/index.js';

/** The store side of a VM. */
export type StoreSide = ReturnType<typeof createStoreSide>;

/** What is written to a table before the exploration starts, while it goes on, and what must hold. */
export type EraScenario = {
	readonly name: string;
	readonly table: 'op' | 'servers';
	/**
	 * Start of the datagrams that arrive; the others are lost. The zones are relayed in two kinds of datagram,
	 * and the orders of both together are too many to explore.
	 */
	readonly relayed: string;
	/** Written before the exploration; all VMs have read it. */
	readonly initial: (content: FakeStoreContent) => void;
	/** Written before the copy is taken. */
	readonly kept: (content: FakeStoreContent) => void;
	/** Written after the copy, and lost when the store returns from it. */
	readonly lost: (content: FakeStoreContent) => void;
	/** Writes again what was lost. */
	readonly rewrite: (content: FakeStoreContent) => void;
	/** What is in force on a VM, as far as this scenario is concerned. */
	readonly stateOf: (vm: StoreSide) => string;
	/** States that a VM must not leave again, other than for the final one, once it has been in them. */
	readonly lastingState: string;
	/** State of all VMs in the end. */
	readonly finalState: string;
};

const configuration = (version: number) =>
	configurationRow({
		version,
		host: 'a.example',
		routes: [],
		account: 'finishers',
		apiKeys: ['key-1'],
	});

const put =
	(table: string, key: string, value: unknown) =>
	(content: FakeStoreContent) => {
		content.put(table, key, value);
	};

const target = (id: string, state?: 'draining' | 'ready') =>
	put('servers', id, targetRow('desk', `10.0.1.${id.length}:80`, state));

/** Version of the configuration that a VM relays, and hands to one that starts. */
const handedVersion = ({watch}: StoreSide) => {
	const text = watch.tables()?.configuration ?? '{}';
	return (JSON.parse(text) as {version?: number}).version;
};

const usable = ({directory}: StoreSide) =>
	directory
		.usable('desk')
		.map(({entry}) => entry.id)
		.sort()
		.join(' ');

/** The cases of an older copy that lacks the last write. */
export const eraScenarios: readonly EraScenario[] = [
	{
		name: 'a version of the configuration',
		table: 'op',
		relayed: '{"after"',
		initial: put('op', 'config', configuration(1)),
		kept: put('op', 'config', configuration(2)),
		lost: put('op', 'config', configuration(3)),
		rewrite: put('op', 'config', configuration(3)),
		stateOf: (vm) =>
			`version ${vm.configuration.current?.version}, hands over ${handedVersion(vm)}`,
		lastingState: 'version 3, hands over 3',
		finalState: 'version 3, hands over 3',
	},
	{
		name: 'the evacuation of a zone',
		table: 'op',
		relayed: '{"evacuations"',
		initial: put('op', 'config', configuration(1)),
		kept: put('op', 'config', configuration(2)),
		lost: put('op', 'evacuate/zone-1', {}),
		rewrite: put('op', 'evacuate/zone-1', {}),
		stateOf: (vm) => `evacuated ${vm.evacuatedZones.zones.join(' ')}`,
		lastingState: 'evacuated zone-1',
		finalState: 'evacuated zone-1',
	},
	{
		name: 'the end of an evacuation',
		table: 'op',
		relayed: '{"evacuations"',
		initial: put('op', 'evacuate/zone-1', {}),
		kept: put('op', 'config', configuration(2)),
		lost: put('op', 'evacuate/zone-1', undefined),
		rewrite: put('op', 'evacuate/zone-1', undefined),
		stateOf: (vm) => `evacuated ${vm.evacuatedZones.zones.join(' ')}`,
		// The copy may bring the evacuation back for a while, which is safe.
		lastingState: 'none',
		finalState: 'evacuated ',
	},
	{
		name: 'the departure of a target',
		table: 'servers',
		relayed: '{"after"',
		initial(content) {
			target('t')(content);
			target('tt')(content);
		},
		kept: target('t'),
		lost: target('tt', 'draining'),
		rewrite: target('tt', 'draining'),
		stateOf: usable,
		lastingState: 't',
		finalState: 't',
	},
	{
		name: 'the removal of a target',
		table: 'servers',
		relayed: '{"after"',
		initial(content) {
			target('t')(content);
			target('tt')(content);
		},
		kept: target('t'),
		lost: put('servers', 'tt', undefined),
		rewrite: put('servers', 'tt', undefined),
		stateOf: usable,
		lastingState: 't',
		finalState: 't',
	},
	{
		name: 'the arrival of a target',
		table: 'servers',
		relayed: '{"after"',
		initial: target('t'),
		kept: target('t'),
		lost: target('tt'),
		rewrite: target('tt'),
		stateOf: usable,
		lastingState: 't tt',
		finalState: 't tt',
	},
];
