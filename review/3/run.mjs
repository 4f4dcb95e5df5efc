// One engine of three spoils one byte of one of its answers: the id line of one event. The stream that the
// client gets must not hold a piece twice and end as complete.
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	answerControl,
	answerHead,
	configuration,
	createDeployment,
	generationHeaders,
	hasTrouble,
	runCase,
	send,
	sleep,
} from '../lib/harness.mjs';

const folder = path.dirname(fileURLToPath(import.meta.url));
const clientCount = 50;
const eventCount = 20;
const eventIntervalMs = 60;
const spoiledEvent = 8;
/** Time that the memory of a run takes to its backup. */
const backupDelayMs = 200;

const chunk = (text) => `${text.length.toString(16)}\r\n${text}\r\n`;

await runCase(folder, async (record) => {
	const deployment = createDeployment({record, vmCount: 2});
	/** Numbers of the events whose memory has reached a backup, by `address/id`. */
	const backups = new Map();
	const addresses = new Map();
	let isSpoilDue = hasTrouble;
	let spoiledId;

	const refuse = (request, socket) => {
		socket.end(
			`HTTP/1.1 503 Status\r\nCowslipspread-Attempt-Id: ${request.id}\r\nCowslipspread-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
		);
	};

	const serve = (name, isFirst) => async (request, socket) => {
		if (answerControl(request, socket)) {
			return;
		}

		const from = request.headers.get('kv-from');
		if (from !== undefined) {
			const isHeldHere = from.startsWith(`${addresses.get(name)}/`);
			if (!isHeldHere || !backups.has(from)) {
				record(`${name} holds no copy for ${request.id}`);
				refuse(request, socket);
				return;
			}

			backups.delete(from);
		}

		const done =
			from === undefined
				? 0
				: Number(request.headers.get('last-event-id') ?? 0);
		record(
			`${name} runs ${request.id} from event ${done + 1}, backup at ${request.headers.get('cowslipspread-kv-backup') ?? 'none'}`,
		);
		const isSpoiled = isFirst && from === undefined && isSpoilDue;
		if (isSpoiled) {
			isSpoilDue = false;
			spoiledId = request.id;
		}

		socket.write(
			answerHead(
				request,
				200,
				'Content-Type: text/event-stream',
				'Transfer-Encoding: chunked',
			),
		);
		const backup = request.headers.get('cowslipspread-kv-backup');
		for (let index = done + 1; index <= eventCount; index++) {
			if (socket.destroyed) {
				return;
			}

			if (backup !== undefined) {
				setTimeout(() => {
					backups.set(`${backup}/${request.id}`, index);
				}, backupDelayMs);
			}

			const idLine =
				isSpoiled && index === spoiledEvent ? `i~: ${index}` : `id: ${index}`;
			if (!idLine.startsWith('id')) {
				record(`${name} spoils one byte of event ${index} of ${request.id}`);
			}

			socket.write(chunk(`${idLine}\ndata: piece ${index};\n\n`));
			await sleep(eventIntervalMs);
		}

		socket.end('0\r\n\r\n');
	};

	try {
		for (const [index, name] of ['e1', 'e2', 'e3'].entries()) {
			const {port} = await deployment.addTarget(
				name,
				'arvioija',
				serve(name, index === 0),
			);
			addresses.set(name, `127.0.0.1:${port}`);
		}

		await deployment.start(configuration(3));
		const answers = await Promise.all(
			Array.from({length: clientCount}, async (_, index) => {
				await sleep(index * 150);
				const id = `report-${index}`;
				const answer = await send(deployment.vms[index % 2], {
					id,
					path: '/report/1',
					headers: generationHeaders(`${index}a`, 800, 928),
					deadlineMs: 39_000,
				});
				const pieces = [...answer.body.matchAll(/piece (\d+);/g)].map(
					([, number]) => Number(number),
				);
				record(
					`${id}: status ${answer.status}, ${answer.ended ? 'complete' : 'channel closed'}, pieces ${pieces.join(' ')}`,
				);
				return {id, pieces, ...answer};
			}),
		);
		const wrong = answers.find(
			({pieces, ended}) => ended && new Set(pieces).size < pieces.length,
		);
		const spoiled = answers.find(({id}) => id === spoiledId);
		if (spoiled) {
			record(`the body of ${spoiledId}: ${JSON.stringify(spoiled.body)}`);
		} else if (hasTrouble) {
			throw new Error('no answer was spoiled');
		}

		return wrong
			? `ORDER: ${wrong.id} ends as complete and holds a piece twice: ${wrong.pieces.join(' ')}`
			: undefined;
	} finally {
		await deployment.stop();
	}
});
