import net from 'node:net';
import {fileURLToPath} from 'node:url';
import {
	createCopies,
	startEngine,
	streamConfiguration,
	streamRequest,
} from '../lib-2/engine.mjs';
import {call, isDisrupted, runCase, sleep} from '../lib-2/world.mjs';

const recordFile = fileURLToPath(new URL('record.txt', import.meta.url));
const contactMs = 3000;
/** Time for which a run may go on at two runners. */
const overlapMs = 400;
const engineCount = 4;
const eventCount = 250;

/** Forwards connections to a runner; those that are open can be made silent. */
async function createProxy(target) {
	const [host, port] = target.split(':');
	const pairs = new Set();
	const server = net.createServer((inner) => {
		const outer = net.connect(port, host);
		const pair = {isSilent: false};
		pairs.add(pair);
		for (const [from, to] of [
			[inner, outer],
			[outer, inner],
		]) {
			from.on('data', (bytes) => {
				if (!pair.isSilent) {
					to.write(bytes);
				}
			});
			from.on('end', () => {
				if (!pair.isSilent) {
					to.end();
				}
			});
			from.on('error', () => {
				// The close follows.
			});
			from.on('close', () => {
				if (!pair.isSilent) {
					to.destroy();
				}
			});
		}

		pair.close = () => {
			inner.destroy();
			outer.destroy();
		};
	});
	await new Promise((resolve) => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		silence() {
			for (const pair of pairs) {
				pair.isSilent = true;
			}
		},
		close() {
			server.close();
			for (const pair of pairs) {
				pair.close();
			}
		},
	};
}

await runCase(recordFile, async (world) => {
	const {agent, store, record, nowMs, startDaemon, waitUntilReady} = world;
	const copies = createCopies();
	const proxies = [];
	const engines = [];
	try {
		for (let number = 1; number <= engineCount; number++) {
			engines.push(
				await startEngine(world, `i-${number}`, {
					copies,
					eventCount,
					async front(address) {
						const proxy = await createProxy(address);
						proxies.push(proxy);
						return proxy.address;
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
		let count = 0;
		const send = async () => {
			count++;
			const id = `report-${count}`;
			const daemon = daemons[count % daemons.length];
			try {
				const {status, body} = await call(daemon.front, {
					...streamRequest(id, count),
					agent,
				});
				record(
					`client got ${status} for ${id}, ${body.split('\n\n').length - 1} events`,
				);
			} catch (error) {
				record(`client got no whole answer for ${id}: ${error.message}`);
			}
		};

		const pending = [];
		for (let index = 0; index < 16; index++) {
			pending.push(send());
			await sleep(60);
		}

		const silentMs = nowMs();
		if (isDisrupted) {
			record('the open channels to the runners go silent; new ones work');
			for (const proxy of proxies) {
				proxy.silence();
			}
		}

		await Promise.race([Promise.all(pending), sleep(20_000)]);
		const runs = engines.flatMap((engine) => engine.runs);
		return runs.flatMap((second) =>
			runs
				.filter(
					(first) =>
						first.attemptId === second.attemptId &&
						first.startMs < second.startMs &&
						first.endMs > second.startMs + overlapMs &&
						second.startMs > silentMs + contactMs,
				)
				.map(
					(first) =>
						`${first.attemptId} went on at ${second.runnerId} ${second.startMs - silentMs} ms after the channels went silent; ${first.runnerId} worked on it for ${Math.round(Math.min(first.endMs, nowMs()) - second.startMs)} ms more`,
				),
		);
	} finally {
		for (const proxy of proxies) {
			proxy.close();
		}
	}
});
