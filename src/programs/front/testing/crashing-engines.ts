import type {AddressInfo, Socket} from 'node:net';
import type {TestContext} from 'node:test';
import {
	createScriptedTarget,
	responseHead,
	type StoreStandin,
	targetRow,
} from '../../../platform/testing/index.js';

export type CrashingEnginesOptions = {
	readonly context: TestContext;
	readonly store: StoreStandin;
	readonly count: number;
	/** Id of the prompt part under which an engine ends. */
	readonly crashingPart: string;
	/** Events that an engine sends of such a response before it ends; it ends inside the next one. */
	readonly eventsBeforeCrash?: number;
	/** Events of a whole response. */
	readonly eventCount?: number;
	/** Time after which an engine that has ended starts again under a new id, in milliseconds. */
	readonly restartMs: number;
};

/** Simulated engines that end under a prompt part, and start again. */
export type CrashingEngines = {
	/** Monotonic times at which requests with the crashing part arrived, in milliseconds. */
	readonly arrivalsMs: readonly number[];
	/** Monotonic times at which engines ended, in milliseconds. */
	readonly crashesMs: readonly number[];
};

/** Time from the arrival of a request to the start of its response, in milliseconds. */
const prefillMs = 60;
const report = JSON.stringify({
	queued: 0,
	running: 0,
	kv_used: 0,
	kv_total: 90_000,
});

/** Time between two events, in milliseconds. */
const eventIntervalMs = 40;

const sleep = async (delayMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, delayMs);
	});

const chunkOf = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const eventOf = (id: number) => chunkOf(`id: ${id}\ndata: token\n\n`);

/** Starts the engines and registers them in the store. */
export async function startCrashingEngines(
	options: CrashingEnginesOptions,
): Promise<CrashingEngines> {
	const {context, store, crashingPart} = options;
	const {eventsBeforeCrash = 0, eventCount = 1} = options;
	const arrivalsMs: number[] = [];
	const crashesMs: number[] = [];
	let nextId = 1;
	let isOver = false;

	const startEngine = async () => {
		const id = `e${nextId++}`;
		const sockets = new Set<Socket>();
		const crash = () => {
			if (!server.listening) {
				return;
			}

			crashesMs.push(performance.now());
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}

			setTimeout(() => {
				store.put('servers', id, undefined);
				if (!isOver) {
					void startEngine();
				}
			}, options.restartMs);
		};

		/** @param crash - ends the engine after some of the events; undefined for a whole response */
		const respond = async (
			socket: Socket,
			head: string,
			crash: (() => void) | undefined,
		) => {
			const sentCount = crash ? eventsBeforeCrash : eventCount;
			socket.write(head);
			for (let id = 1; id <= sentCount; id++) {
				socket.write(eventOf(id));
				if (id < sentCount || crash) {
					await sleep(eventIntervalMs);
				}
			}

			if (crash) {
				socket.write(`40\r\nid: ${sentCount + 1}\nda`, crash);
			} else {
				socket.write('0\r\n\r\n');
			}
		};

		const {server} = createScriptedTarget((request, socket) => {
			if (request.head.startsWith('GET /-/')) {
				socket.write(
					`HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`,
				);
				return;
			}

			const crashes = request.head.includes(`${crashingPart}:`);
			if (crashes) {
				arrivalsMs.push(performance.now());
			}

			setTimeout(() => {
				const head = responseHead(
					request,
					'Content-Type: text/event-stream',
					'Transfer-Encoding: chunked',
					'Connection: close',
				);
				void respond(socket, head, crashes ? crash : undefined);
			}, prefillMs);
		});
		server.on('connection', (socket: Socket) => {
			sockets.add(socket);
		});
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		context.after(() => {
			isOver = true;
			server.close();
		});
		const {port} = server.address() as AddressInfo;
		store.put('servers', id, targetRow('model', `127.0.0.1:${port}`));
	};

	await Promise.all(Array.from({length: options.count}, startEngine));
	return {arrivalsMs, crashesMs};
}
