// One engine of three answers its streams with bytes that are no events, without end. Requests that run at
// the two sound engines, on kept channels, must keep their answers.
import {Agent} from 'node:http';
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
const vmCount = 2;
const streamsPerVm = 15;
const waitingPerVm = 18;
const eventCount = 50;
const eventIntervalMs = 100;
/** Time until the first event of the requests whose prompts are still being read; the aim is 1800 ms. */
const promptMs = 1200;
/** The rule allows three. */
const allowedCount = 3;

const chunk = (text) => `${text.length.toString(16)}\r\n${text}\r\n`;
const bytesThatAreNoEvents = chunk(':\n\n'.repeat(16_384));

/** Writes until the daemon closes the connection. */
function writeWithoutEnd(socket) {
	const write = () => {
		while (!socket.destroyed) {
			if (!socket.write(bytesThatAreNoEvents)) {
				socket.once('drain', write);
				return;
			}
		}
	};

	write();
}

await runCase(folder, async (record) => {
	const deployment = createDeployment({record, vmCount});
	/** Ids of the requests that each engine runs. */
	const runAt = new Map();
	let isFaulty = false;
	const serveStream = (name, isFirst) => async (request, socket) => {
		if (answerControl(request, socket)) {
			return;
		}

		if (request.headers.has('kv-from')) {
			// This engine holds no copies; it does not run the request.
			socket.end(
				`HTTP/1.1 503 Status\r\nCowslipspread-Attempt-Id: ${request.id}\r\nCowslipspread-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
			);
			return;
		}

		record(`${name} runs ${request.id}`);
		runAt.set(request.id, name);
		if (request.id.startsWith('waiting')) {
			await sleep(promptMs);
		}

		socket.write(
			answerHead(
				request,
				200,
				'Content-Type: text/event-stream',
				'Transfer-Encoding: chunked',
			),
		);
		for (let index = 1; index <= eventCount && !socket.destroyed; index++) {
			if (isFirst && isFaulty) {
				record(`${name} answers ${request.id} with bytes that are no events`);
				writeWithoutEnd(socket);
				return;
			}

			socket.write(chunk(`id: ${index}\ndata: piece ${index}\n\n`));
			await sleep(eventIntervalMs);
		}

		socket.end('0\r\n\r\n');
	};

	const serveCall = async (request, socket) => {
		await sleep(43);
		socket.write(
			`${answerHead(request, 200, 'Content-Length: 2', 'Keep-Alive: timeout=10')}ok`,
		);
	};

	try {
		for (const [index, name] of ['e1', 'e2', 'e3'].entries()) {
			await deployment.addTarget(
				name,
				'arvioija',
				serveStream(name, index === 0),
			);
		}

		await deployment.addTarget('t1', 'tilauspoyta', serveCall);
		await deployment.addTarget('t2', 'tilauspoyta', serveCall);
		await deployment.start(configuration(3));

		/** A client that looks something up, keeps its channel, and asks for a report on it. */
		const playClient = async (vm, id, delayMs) => {
			await sleep(delayMs);
			const agent = new Agent({keepAlive: true, maxSockets: 1});
			const first = await send(vm, {
				id: `lookup-${id}`,
				method: 'GET',
				path: '/stock/1',
				deadlineMs: 1000,
				agent,
			});
			record(`client sends ${id} to ${vm.name} on a kept channel`);
			const answer = await send(vm, {
				id,
				path: '/report/1',
				headers: generationHeaders(id.replaceAll(/\D/g, '') + 'a'),
				deadlineMs: 39_000,
				agent,
			});
			agent.destroy();
			record(
				`${id} at ${runAt.get(id) ?? 'no engine'}: status ${answer.status}, ${answer.ended ? 'complete' : 'channel closed'}, ${answer.body.length} bytes`,
			);
			return {id, isKept: first.status === 200, ...answer};
		};

		const clients = deployment.vms.flatMap((vm, vmIndex) => [
			...Array.from({length: streamsPerVm}, async (_, index) =>
				playClient(vm, `running-${vmIndex}${index}`, index * 50),
			),
			...Array.from({length: waitingPerVm}, async (_, index) =>
				playClient(vm, `waiting-${vmIndex}${index}`, 2600 + index * 10),
			),
		]);
		await sleep(3000);
		isFaulty = hasTrouble;
		const answers = await Promise.all(clients);
		await sleep(1000);
		const isAtSoundEngine = ({id}) => ['e2', 'e3'].includes(runAt.get(id));
		const lost = answers.filter(
			(answer) => answer.isKept && isAtSoundEngine(answer) && !answer.ended,
		);
		const unanswered = lost.filter(({status}) => status === 0);
		for (const vm of deployment.vms) {
			const reason = /FATAL ERROR: .*/.exec(vm.output);
			if (reason) {
				record(`${vm.name}: ${reason[0]}`);
			}
		}

		record(
			`on kept channels, passed on to sound engines: ${lost.length} channels closed without a complete answer, ${unanswered.length} of them without any answer`,
		);
		const ended = deployment.vms.filter((vm) => vm.exit).map((vm) => vm.name);
		record(`ended by themselves: ${ended.join(' ') || 'none'}`);
		return unanswered.length > allowedCount
			? `LOST: ${unanswered.length} requests that sound engines run, on kept channels, have no answer; ended by themselves: ${ended.join(' ')}`
			: undefined;
	} finally {
		await deployment.stop();
	}
});
