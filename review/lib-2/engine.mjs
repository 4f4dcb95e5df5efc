// A model runner that streams events, keeps backup copies of runs and goes on from them, as PROTOCOL.md describes it.
import {stamp} from './world.mjs';

export const engineService = 'inspector';
const slots = 24;
const kvTokens = 34_348;
const promptTokens = 3000;

/** Copies of the memory of runs, by the address of the engine that holds them and the id of the request. */
export const createCopies = () => new Map();

/**
 * Starts an engine.
 * @param copies - shared by all engines of the world
 * @param eventCount - events of a whole stream
 * @param hasRoomForCopies - false if the engine has no room for the copies of others
 * @param pauseMsAt - time for which a run is preempted before it makes an event; 0 for none
 */
export async function startEngine(
	{startRunner, record, nowMs},
	id,
	{
		copies,
		eventCount,
		eventMs = 40,
		prefillMs = 300,
		hasRoomForCopies = () => true,
		pauseMsAt = () => 0,
		front,
	},
) {
	const open = new Map();
	/** Every run of this engine, with the times at which its work began and ended. */
	const runs = [];
	const holders = new Map();

	const control = (request, body, response) => {
		response.setHeader('Content-Type', 'application/json');
		if (request.url === '/-/report') {
			response.end(
				JSON.stringify({
					stage: 'both',
					models: [{name: 'm', version: 1, adapters: []}],
					busy: false,
					seq: 1,
					queued: 0,
					running: open.size,
					kv_used: open.size * promptTokens,
					kv_total: kvTokens,
					handles: 0,
				}),
			);
		} else if (request.url === '/-/kv-move') {
			// No engine has room for more copies.
			response.writeHead(503).end('{}');
		} else {
			response.end('{}');
		}
	};

	const runner = await startRunner(id, engineService, {
		slots,
		front,
		control,
		serve(arrival, response) {
			const {attemptId, headers} = arrival;
			const from = headers['kv-from'];
			const lastEventId = Number(headers['last-event-id'] ?? 0);
			if (from !== undefined && !copies.has(from)) {
				record(`${id} has no copy ${from} and refuses ${attemptId}`);
				response.writeHead(503, {'Cowslipspread-Not-Executed': '1'}).end();
				return;
			}

			const backup = headers['cowslipspread-kv-backup'];
			record(
				`${id} runs ${attemptId} from event ${lastEventId + 1}${from ? `, with the copy ${from}` : ''}${backup ? `, backup ${backup}` : ''}`,
			);
			const run = {
				runnerId: id,
				attemptId,
				startMs: nowMs(),
				endMs: Infinity,
				event: lastEventId,
				isWhole: false,
			};
			open.set(attemptId, run);
			runs.push(run);
			let timer;

			const end = (isWhole) => {
				clearTimeout(timer);
				if (run.endMs === Infinity) {
					run.endMs = nowMs();
					run.isWhole = isWhole;
					open.delete(attemptId);
					record(
						`${id} ${isWhole ? 'ends' : 'drops'} ${attemptId} at event ${run.event}`,
					);
				}
			};

			const makeEvent = () => {
				if (run.event === lastEventId) {
					response.writeHead(200, {
						...stamp(id, attemptId),
						'Content-Type': 'text/event-stream',
					});
				}

				run.event++;
				response.write(`id: ${run.event}\ndata: ${attemptId} ${run.event}\n\n`);
				if (run.event >= eventCount) {
					end(true);
					response.end();
					return;
				}

				schedule();
			};

			const schedule = () => {
				if (backup && holders.get(backup)?.() !== false) {
					copies.set(`${backup}/${attemptId}`, run.event);
				}

				const pauseMs = pauseMsAt(run);
				if (pauseMs > 0) {
					record(
						`${id} preempts ${attemptId} after event ${run.event} and reads it again, ${pauseMs} ms`,
					);
				}

				timer = setTimeout(makeEvent, eventMs + pauseMs);
			};

			timer = setTimeout(makeEvent, from === undefined ? prefillMs : eventMs);
			if (backup && holders.get(backup)?.() !== false) {
				copies.set(`${backup}/${attemptId}`, 0);
			}

			response.on('close', () => {
				end(false);
			});
		},
	});
	return {
		runner,
		runs,
		hasRoomForCopies,
		/** Tells this engine which others have room for copies. */
		connect(engines) {
			for (const other of engines) {
				holders.set(other.runner.address, other.hasRoomForCopies);
			}
		},
	};
}

/** Configuration with one route for streams. */
export const streamConfiguration = {
	version: 7,
	routes: [
		{
			name: 'report',
			hostname: 'shop.example',
			prefix: '/report/',
			kind: 'stream',
			timeout_ms: 39_000,
			target_latency_ms: 1800,
			target_gap_ms: 180,
			priority: 0,
			service: engineService,
			max_attempts: 1,
			allow_anonymous: false,
			sticky: true,
			resumable: false,
		},
	],
	services: [
		{
			name: engineService,
			health_path: '/healthz',
			max_conns: 252,
			engine: {
				slots,
				kv_tokens: kvTokens,
				kv_bytes: 163_840,
				link_mbps: 24_000,
				moves: true,
				backups: true,
				stride: 4,
				most: 12,
				pin_ms: 4000,
				hold_ms: 2000,
				handle_s: 5,
				models: [{name: 'm'}],
			},
		},
	],
	tenants: [{name: 'polisher-1', api_keys: ['key-1'], priority: 0}],
	limits: {
		max_header_bytes: 16_384,
		max_body_bytes: 1_048_576,
		header_timeout_ms: 5000,
		idle_timeout_ms: 20_000,
	},
};

/** Request for a stream, for `call`. */
export const streamRequest = (attemptId, number) => ({
	method: 'POST',
	path: `/report/${number}`,
	headers: {
		Host: 'shop.example',
		'Cowslipspread-Attempt-Id': attemptId,
		'Cowslipspread-Deadline-Ms': '39000',
		'Cowslipspread-Model': 'm',
		'Cowslipspread-Token-Counts': '3000,800',
		'Cowslipspread-Prompt-Prefix': `a1:79,b${number}:2921`,
		'Api-Key': 'key-1',
	},
	body: 'batch',
});
