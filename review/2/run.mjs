// Requests with one part in their prompts end each engine that begins to write an answer on it. The front
// daemons must keep such requests from the engines once five have ended.
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	answerControl,
	answerHead,
	configuration,
	createDeployment,
	hasTrouble,
	runCase,
	send,
	sleep,
} from '../lib/harness.mjs';

const folder = path.dirname(fileURLToPath(import.meta.url));
const engineCount = 8;
const playMs = 30_000;
const badIntervalMs = 700;
const soundIntervalMs = 200;
const backAfterMs = 4000;
const contactMs = 3000;
/** Pieces of the answer that an engine writes before it ends. */
const piecesBeforeEnd = 1;
const badPart = 'bad0';

const chunk = (text) => `${text.length.toString(16)}\r\n${text}\r\n`;

await runCase(folder, async (record) => {
	const deployment = createDeployment({record, vmCount: 2});
	const {store} = deployment;
	const crashes = [];
	const late = [];
	const down = new Set();
	const engines = new Map();
	const sentAt = new Map();

	const row = (name, born) => ({
		service: 'arvioija',
		address: `127.0.0.1:${engines.get(name).port}`,
		zone: 'pirk-a',
		version: '1',
		slots: 24,
		state: 'ready',
		cold_left_ms: 0,
		seq: 1,
		born,
	});

	const crash = (name) => {
		crashes.push(performance.now());
		record(`${name} ends (${crashes.length})`);
		down.add(name);
		const {server, sockets, port} = engines.get(name);
		server.close();
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}

		setTimeout(() => {
			server.listen(port, '127.0.0.1', () => {
				down.delete(name);
				store.put('servers', name, row(name, Date.now()));
				record(`${name} is back`);
			});
		}, backAfterMs).unref();
	};

	const serve = (name) => async (request, socket) => {
		if (answerControl(request, socket)) {
			return;
		}

		const isBad = (
			request.headers.get('cowslipspread-prompt-prefix') ?? ''
		).includes(badPart);
		if (isBad && hasTrouble) {
			record(`${name} gets ${request.id}`);
			if (
				crashes.length >= 5 &&
				sentAt.get(request.id) > crashes[4] + contactMs
			) {
				late.push(request.id);
			}
		}

		await sleep(60);
		if (socket.destroyed) {
			return;
		}

		socket.write(
			answerHead(
				request,
				200,
				'Content-Type: text/event-stream',
				'Transfer-Encoding: chunked',
				'Connection: close',
			),
		);
		for (let index = 1; index <= 4; index++) {
			if (isBad && hasTrouble && index > piecesBeforeEnd) {
				await sleep(20);
				if (!socket.destroyed) {
					crash(name);
				}

				return;
			}

			socket.write(chunk(`id: ${index}\ndata: piece ${index}\n\n`));
			await sleep(100);
			if (socket.destroyed) {
				return;
			}
		}

		socket.end('0\r\n\r\n');
	};

	try {
		for (let index = 1; index <= engineCount; index++) {
			const name = `e${index}`;
			engines.set(
				name,
				await deployment.addTarget(name, 'arvioija', serve(name)),
			);
		}

		await deployment.start(configuration(3));
		const clients = [];
		const outcomes = {};
		const ask = async (id, parts) => {
			sentAt.set(id, performance.now());
			const answer = await send(deployment.vms[clients.length % 2], {
				id,
				path: '/check/1',
				headers: {
					'Cowslipspread-Model': 'm',
					'Cowslipspread-Token-Counts': '350,16',
					'Cowslipspread-Prompt-Prefix': parts,
				},
				deadlineMs: 6000,
			});
			const kind = id.replace(/\d+$/, '');
			const key = `${kind} ${answer.status}${answer.ended ? '' : ' cut'}`;
			outcomes[key] = (outcomes[key] ?? 0) + 1;
			if (kind === 'bad') {
				record(`${id}: status ${answer.status}${answer.ended ? '' : ', cut'}`);
			}
		};

		const untilMs = performance.now() + playMs;
		let count = 0;
		let nextBadMs = performance.now();
		while (performance.now() < untilMs) {
			count++;
			clients.push(
				ask(`sound${count}`, `5c1e07a2:79,91bd${count % 20}f:200,a${count}:71`),
			);
			if (performance.now() >= nextBadMs) {
				nextBadMs += badIntervalMs;
				clients.push(
					ask(`bad${count}`, `5c1e07a2:79,${badPart}:200,b${count}:71`),
				);
			}

			await sleep(soundIntervalMs);
		}

		await Promise.all(clients);
		record(`outcomes: ${JSON.stringify(outcomes)}`);
		record(
			`engines ended: ${crashes.length}; requests with the part that reached engines, sent later than contact_ms after the fifth: ${late.length}`,
		);
		return late.length > 3
			? `BUDGET: ${late.length} requests with the part reached engines after that; ${crashes.length} engines ended`
			: undefined;
	} finally {
		await deployment.stop();
	}
});
