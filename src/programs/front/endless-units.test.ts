import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import type {Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test, type TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {findFreePorts} from '../../experiments/fakes/index.js';
import {createFrontProcess} from '../../experiments/fault-soak/front-process.js';
import {
	bootFile,
	createScriptedTarget,
	createStoreStandin,
	type ReceivedRequest,
	responseHead,
	targetRow,
} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	listenOn,
	statusOf,
	until,
} from './testing/index.js';

/** Requests for endless answers; some are refused while the others seem to fill the engines. */
const requestCount = 16;
/** Entries of the store that name the faulty target. */
const engineNames = ['d', 'e', 'f'];
const minEndlessCount = 8;
const maxPeakMemoryKb = 150 * 1024;
const routeTimeoutMs = 30_000;
const unitsPerBlock = 4000;
const program = fileURLToPath(new URL('../front.js', import.meta.url));

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const report = JSON.stringify({
	queued: 0,
	running: 0,
	kv_used: 0,
	kv_total: 90_000,
});
const eventStream = [
	'Content-Type: text/event-stream',
	'Transfer-Encoding: chunked',
];

/** An answer that consists of units of a few bytes, without end. */
type SmallUnits = {
	readonly kind: 'call' | 'stream';
	readonly headers: readonly string[];
	/** Returns the units from a number on, as sent. */
	readonly block: (firstUnit: number) => string;
};

const repeated = (text: string) => () => text.repeat(unitsPerBlock);

const answers: Readonly<Record<string, SmallUnits>> = {
	'empty comments': {
		kind: 'stream',
		headers: eventStream,
		block: () => chunk(':\n\n'.repeat(unitsPerBlock)),
	},
	'blank lines': {
		kind: 'stream',
		headers: eventStream,
		block: () => chunk('\n'.repeat(unitsPerBlock)),
	},
	'events without content': {
		kind: 'stream',
		headers: eventStream,
		block: () => chunk('data:\n\n'.repeat(unitsPerBlock)),
	},
	'well-formed events': {
		kind: 'stream',
		headers: eventStream,
		block: (firstUnit) =>
			chunk(
				Array.from(
					{length: unitsPerBlock},
					(_, index) => `id: ${firstUnit + index}\ndata:\n\n`,
				).join(''),
			),
	},
	'an event in chunks of one byte': {
		kind: 'stream',
		headers: eventStream,
		block: repeated(chunk('d')),
	},
	'well-formed events in a chunk each': {
		kind: 'stream',
		headers: eventStream,
		block: (firstUnit) =>
			Array.from({length: unitsPerBlock}, (_, index) =>
				chunk(`id: ${firstUnit + index}\ndata:\n\n`),
			).join(''),
	},
	'a call in chunks of one byte': {
		kind: 'call',
		headers: ['Transfer-Encoding: chunked'],
		block: repeated(chunk('b')),
	},
};

/** Writes the answer until the connection is closed. */
function writeUnits(socket: Socket, {block}: SmallUnits) {
	let firstUnit = 1;
	const writeUntilFull = () => {
		while (!socket.destroyed) {
			const text = block(firstUnit);
			firstUnit += unitsPerBlock;
			if (!socket.write(text)) {
				socket.once('drain', writeUntilFull);
				return;
			}
		}
	};

	writeUntilFull();
}

const nameOf = ({head}: ReceivedRequest) => {
	const [, name = ''] = /^POST \/\w+\/(\S+) /.exec(head) ?? [];
	return decodeURIComponent(name);
};

const headersOf = (id: string) => ({
	'Cowslipspread-Attempt-Id': id,
	'Cowslipspread-Model': 'm',
	'Cowslipspread-Token-Counts': '100,40',
	'Cowslipspread-Prompt-Prefix': `a${id}:100`,
});

function readPeakMemoryKb(pid: number | undefined): number {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]);
}

const route = (
	name: string,
	kind: 'idempotent' | 'non_idempotent' | 'stream',
	service: string,
) => ({
	name,
	prefix: `/${name}/`,
	kind,
	service,
	timeoutMs: routeTimeoutMs,
});

/** Starts a daemon as a process of its own, with the heap limit of a VM, a faulty target and a sound one. */
async function startDaemonProcess(context: TestContext) {
	const store = createStoreStandin();
	const endlessIds = new Set<string>();
	const faulty = createScriptedTarget((request, socket) => {
		const answer = answers[nameOf(request)];
		if (request.head.startsWith('GET /-/')) {
			socket.write(
				`HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`,
			);
		} else if (answer) {
			endlessIds.add(request.id);
			socket.write(responseHead(request, ...answer.headers));
			writeUnits(socket, answer);
		} else {
			const event = chunk('id: 1\ndata: a\n\n');
			socket.write(`${responseHead(request, ...eventStream)}${event}0\r\n\r\n`);
		}
	});
	const sound = createScriptedTarget((request, socket) => {
		socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
	});
	const storePort = await listenOn(context, store.server);
	const faultyPort = await listenOn(context, faulty.server);
	const soundPort = await listenOn(context, sound.server);
	store.put(
		'op',
		'config',
		fixtureConfiguration(3, undefined, [
			route('stock', 'idempotent', 'desk'),
			route('call', 'non_idempotent', 'faulty-desk'),
			route('stream', 'stream', 'faulty-model'),
		]),
	);
	store.put('servers', 't1', targetRow('desk', `127.0.0.1:${soundPort}`));
	store.put(
		'servers',
		't2',
		targetRow('faulty-desk', `127.0.0.1:${faultyPort}`),
	);

	const [front, ready, peer] = await findFreePorts(3);
	const folder = mkdtempSync(path.join(tmpdir(), 'front-'));
	const bootFilePath = path.join(folder, 'boot');
	const boot = bootFile({front, ready, peer, store: storePort});
	writeFileSync(bootFilePath, JSON.stringify(boot));
	const ends: string[] = [];
	const daemon = createFrontProcess({
		program,
		bootFilePath,
		flags: ['--max-stream-bytes', '1000000'],
		onStart() {
			// The test waits for the readiness page.
		},
		onEnd({cause}) {
			ends.push(cause);
		},
	});
	daemon.start();
	context.after(async () => daemon.end('SIGKILL', 0));
	await until(async () => {
		try {
			return (await statusOf(front, '/stock/sound')) === 200;
		} catch {
			return false;
		}
	});
	return {
		front,
		daemon,
		ends,
		/** Ids of the requests whose answers do not end. */
		endlessIds,
		/** Registers faulty engines as new ones, without the record that they have got. */
		async replaceEngines(generation: number) {
			for (const name of engineNames) {
				store.put('servers', `${name}${generation - 1}`, undefined);
				store.put(
					'servers',
					`${name}${generation}`,
					targetRow('faulty-model', `127.0.0.1:${faultyPort}`),
				);
			}

			await until(
				async () =>
					(await statusOf(front, '/stream/sound', {}, 'POST')) === 200,
			);
		},
	};
}

test('a daemon does not run out of memory when answers of one target consist of small units without end (review case 1)', async (context) => {
	const {front, daemon, ends, endlessIds, replaceEngines} =
		await startDaemonProcess(context);

	for (const [index, [name, {kind}]] of Object.entries(answers).entries()) {
		await context.test(name, async () => {
			await replaceEngines(index);
			endlessIds.clear();
			const requestPath = `/${kind}/${encodeURIComponent(name)}`;
			const endless = Promise.allSettled(
				Array.from({length: requestCount}, async (_, request) =>
					call(front, requestPath, headersOf(`${index}-${request}`), 'POST'),
				),
			);
			const progress = {isOver: false};
			void endless.then(() => {
				progress.isOver = true;
			});
			const statuses = new Set<number>();
			while (!progress.isOver) {
				statuses.add(await statusOf(front, '/stock/sound'));
			}

			const results = await endless;
			const complete = results.filter(
				(result) =>
					result.status === 'fulfilled' &&
					result.value.status === 200 &&
					!result.value.aborted,
			);
			assert.deepEqual([...statuses], [200]);
			assert.equal(complete.length, 0);
			assert.ok(endlessIds.size >= minEndlessCount);
			assert.deepEqual(ends, []);
		});
	}

	const peakMemoryKb = readPeakMemoryKb(daemon.pid);
	assert.ok(
		peakMemoryKb < maxPeakMemoryKb,
		`the daemon took up to ${peakMemoryKb} KB`,
	);
});
