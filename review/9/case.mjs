import {fileURLToPath} from 'node:url';
import {
	createCopies,
	startEngine,
	streamConfiguration,
	streamRequest,
} from '../lib-2/engine.mjs';
import {call, isDisrupted, runCase, sleep} from '../lib-2/world.mjs';

const recordFile = fileURLToPath(new URL('record.txt', import.meta.url));
const graceMs = 8000;
const engineCount = 4;
const streamCount = 16;
const eventCount = 100;
/** Time that a preempted run waits for memory and is read again. */
const pauseMs = 1500;
/** Runs that are preempted, once each. */
const maxPreempted = 3;

await runCase(recordFile, async (world) => {
	const {agent, store, record, nowMs, startDaemon, waitUntilReady} = world;
	const copies = createCopies();
	const engines = [];
	const preempted = new Set();
	let isMemoryFull = false;
	let stopped;
	/** Ids of the requests that the daemon to be stopped has taken. */
	const taken = new Set();
	for (let number = 1; number <= engineCount; number++) {
		engines.push(
			await startEngine(world, `i-${number}`, {
				copies,
				eventCount,
				// The requests of other machines fill the engines.
				hasRoomForCopies: () => false,
				pauseMsAt({attemptId}) {
					const isChosen =
						isMemoryFull &&
						taken.has(attemptId) &&
						!preempted.has(attemptId) &&
						preempted.size < maxPreempted;
					if (!isChosen) {
						return 0;
					}

					preempted.add(attemptId);
					return pauseMs;
				},
			}),
		);
	}

	for (const engine of engines) {
		engine.connect(engines);
	}

	store.put('op', 'config', streamConfiguration);
	const daemons = [
		startDaemon('edge-1'),
		startDaemon('edge-2', {zone: 'zone-2'}),
	];
	for (const daemon of daemons) {
		await waitUntilReady(daemon);
	}

	await sleep(2500);
	/** Answers that ended early, with the time. */
	const cut = [];
	let count = 0;
	const send = async () => {
		count++;
		const id = `report-${count}`;
		const daemon = daemons[count % daemons.length];
		if (daemon === daemons[0]) {
			taken.add(id);
		}

		try {
			const {status, body} = await call(daemon.front, {
				...streamRequest(id, count),
				agent,
			});
			record(
				`client got ${status} for ${id}, ${body.split('\n\n').length - 1} events`,
			);
		} catch (error) {
			cut.push({id, daemon, atMs: nowMs()});
			record(
				`client got no whole answer for ${id} from ${daemon.name}: ${error.message}, ${(error.body ?? '').split('\n\n').length - 1} events`,
			);
		}
	};

	const pending = [];
	for (let index = 0; index < streamCount; index++) {
		pending.push(send());
		await sleep(50);
	}

	await sleep(300);
	if (isDisrupted) {
		[stopped] = daemons;
		record(`SIGTERM to ${stopped.name}`);
		stopped.process.kill('SIGTERM');
	}

	const signalMs = nowMs();
	await sleep(300);
	isMemoryFull = true;
	await Promise.all(pending);
	return cut
		.filter(({daemon, atMs}) => daemon === stopped && atMs - signalMs < graceMs)
		.map(
			({id, atMs}) =>
				`${id} ended without a complete answer ${atMs - signalMs} ms after the SIGTERM`,
		);
});
