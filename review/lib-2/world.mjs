// A small deployment on loopback addresses: the platform's store, runners, and front daemons started with the
// command of the deploy file. Used by the scripts of review/6 to review/10.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	appendFileSync,
	mkdtempSync,
	openSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

export const root = fileURLToPath(new URL('../..', import.meta.url));
export const isDisrupted = process.env.TROUBLE !== '0';
export const sleep = async (ms) =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

const bounds = {
	seed_lag_s: 3,
	reuse_after_s: 2,
	contact_ms: 3000,
	ack_ms: 4000,
	catch_up_s: 4,
	drain_ms: 2000,
	grace_s: 8,
	loss_slack_ms: 200,
	config_apply_ms: 2000,
	rollback_slack_ms: 250,
	outer_ms: 5000,
	revoke_strict: false,
	revoke_ms: 5000,
	retry_budget_ratio: 0.2,
	budget_window_s: 10,
	retry_budget_extra: 56,
	recovery_s: 12,
	pass_ms: 120,
	reuse_window_s: 4.4,
};

/** Listens on a free port of an address. */
async function listen(server, ip) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, ip, resolve);
	});
	return `${ip}:${server.address().port}`;
}

async function readAll(stream) {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** The platform's table store, as PROTOCOL.md describes it. */
function createStore() {
	const rows = new Map();
	const changes = [];
	let version = 1;
	let wakes = [];
	let isClosed = false;

	const put = (table, key, text) => {
		version++;
		const change = {table, part: '', key, ver: version};
		if (text === undefined) {
			rows.delete(`${table}/${key}`);
			changes.push({...change, tombstone: true});
		} else {
			const row = {...change, value: Buffer.from(text).toString('base64')};
			rows.set(`${table}/${key}`, row);
			changes.push(row);
		}

		const waiting = wakes;
		wakes = [];
		for (const wake of waiting) {
			wake();
		}

		return version;
	};

	const answer = (response, found) => {
		response.setHeader('Content-Type', 'application/json');
		response.end(
			JSON.stringify({
				rows: found,
				more_pages: false,
				ver: version,
				now_ms: Math.round(performance.now()),
			}),
		);
	};

	const follow = async (response, query) => {
		const after = Number(query.get('after_rev'));
		const untilMs = performance.now() + Number(query.get('wait_ms') ?? 0);
		for (;;) {
			const newest = new Map();
			for (const change of changes) {
				if (change.table === query.get('table') && change.ver > after) {
					newest.delete(change.key);
					newest.set(change.key, change);
				}
			}

			const leftMs = untilMs - performance.now();
			if (newest.size > 0 || leftMs <= 0 || isClosed) {
				answer(response, [...newest.values()]);
				return;
			}

			await new Promise((resolve) => {
				wakes.push(resolve);
				setTimeout(resolve, leftMs);
			});
		}
	};

	const server = http.createServer(async (request, response) => {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const body = await readAll(request);
		await sleep(4);
		switch (pathname) {
			case '/-/rows-get': {
				const from = searchParams.get('from') ?? '';
				answer(
					response,
					[...rows.values()]
						.filter(
							({table, key}) =>
								table === searchParams.get('table') && key >= from,
						)
						.sort((a, b) => (a.key < b.key ? -1 : 1)),
				);

				break;
			}

			case '/-/rows-feed': {
				await follow(response, searchParams);

				break;
			}

			case '/-/rows-tx': {
				for (const {table, key, value} of JSON.parse(body).writes) {
					put(table, key, Buffer.from(value, 'base64').toString());
				}

				response.setHeader('Content-Type', 'application/json');
				response.end(JSON.stringify({ver: version, now_ms: 0}));

				break;
			}

			default: {
				response.writeHead(404).end('{}');
			}
		}
	});
	return {
		server,
		close() {
			isClosed = true;
			for (const wake of wakes) {
				wake();
			}
		},
		put(table, key, value) {
			return put(
				table,
				key,
				value === undefined ? undefined : JSON.stringify(value),
			);
		},
	};
}

/**
 * Creates a deployment without daemons or runners.
 * @param recordFile - file to which what was sent, answered and run is written
 */
export async function createWorld(recordFile) {
	writeFileSync(recordFile, '');
	const startedMs = performance.now();
	const nowMs = () => Math.round(performance.now() - startedMs);
	const record = (text) => {
		appendFileSync(
			recordFile,
			`${(nowMs() / 1000).toFixed(3).padStart(8)} ${text}\n`,
		);
	};

	const directory = mkdtempSync(path.join(os.tmpdir(), 'review-2-'));
	const net = `127.${20 + (process.pid % 200)}.${Math.floor(Math.random() * 250)}`;
	const store = createStore();
	const storeAddress = await listen(store.server, `${net}.1`);
	const children = [];
	const servers = [store.server];
	const runners = [];
	const agent = new http.Agent({keepAlive: true});
	let nextIp = 10;

	const stopAll = () => {
		for (const {process: child} of children) {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
			}
		}

		for (const runner of runners) {
			runner.stopCheckIns();
		}

		agent.destroy();
		store.close();
		for (const server of servers) {
			server.close();
			server.closeAllConnections?.();
		}

		rmSync(directory, {recursive: true, force: true});
	};

	process.once('SIGTERM', () => {
		stopAll();
		process.exitCode = 2;
	});

	/** Starts a front daemon with the command of the deploy file. */
	const startDaemon = (
		vmName,
		{zone = 'zone-1', seeds = [], settings = {}} = {},
	) => {
		const ip = `${net}.${nextIp++}`;
		const boot = {
			node: vmName,
			role: 'front',
			machine_class: 'edge',
			serves: ['edge', 'control'],
			ip,
			zone,
			region: 'region-1',
			zones: {'zone-1': 'region-1', 'zone-2': 'region-1'},
			listen: {
				front: `${ip}:18740`,
				ready: `${ip}:18749`,
				control: `${ip}:18748`,
			},
			port_range: [17_200, 17_215],
			seed_nodes: seeds.length > 0 ? seeds : [`${ip}:18748`],
			bootstrap: true,
			counts_as_loss: false,
			limits: {
				cpu_share: 0.675,
				cores: 1,
				memory_mb: 200,
				max_fds: 4100,
				link_mbps: 1000,
				disk_mb: 0,
			},
			data_dir: null,
			discovery: 'platform',
			entry: 'virtual_ip',
			heartbeat_ms: 1200,
			contracts: [
				'base',
				'drain',
				'config',
				'cost',
				'retry',
				'recover',
				'engine',
				'stream',
				'tenants',
				'platform',
			],
			fault_tolerance: {machines: 2, zones: 0, regions: 0},
			bounds,
			platform: {
				address: storeAddress,
				form: 'table',
				writes_per_s: 400,
				reads_per_s: 2000,
				tx_ms: 8,
				part_writes_s: 150,
				row_bytes: 65_536,
				across: false,
				history_s: 20,
				blob_bytes: 8_388_608,
				blob_ms: 25,
				blob_mb_s: 80,
			},
			...settings,
		};
		const bootFile = path.join(directory, `${vmName}.json`);
		writeFileSync(bootFile, JSON.stringify(boot));
		const logFile = path.join(directory, `${vmName}.log`);
		const log = openSync(logFile, 'a');
		// The words after `node` are those of the deploy file.
		const child = spawn(
			process.execPath,
			[
				'--max-old-space-size=96',
				'--max-semi-space-size=2',
				'target/front.cjs',
			],
			{
				cwd: root,
				env: {
					PATH: process.env.PATH,
					HOME: process.env.HOME,
					COWSLIPSPREAD_BOOT: bootFile,
				},
				stdio: ['ignore', log, log],
			},
		);
		child.on('exit', (code, signal) => {
			record(`${vmName} ended: code ${code}, signal ${signal}`);
		});
		const daemon = {
			name: vmName,
			ip,
			process: child,
			front: boot.listen.front,
			ready: boot.listen.ready,
			control: boot.listen.control,
			bootFile,
			boot,
			log: () => readFileSync(logFile, 'utf8'),
		};
		children.push(daemon);
		return daemon;
	};

	const isReady = async ({ready}) => {
		try {
			const {status} = await call(ready, {path: '/-/readyz', timeoutMs: 500});
			return status === 200;
		} catch {
			return false;
		}
	};

	const waitUntilReady = async (daemon, limitMs = 15_000) => {
		const untilMs = performance.now() + limitMs;
		while (!(await isReady(daemon))) {
			if (performance.now() > untilMs) {
				throw new Error(`${daemon.name} is not ready in time`);
			}

			await sleep(100);
		}
	};

	/**
	 * Starts a runner that registers itself in the store every 1.2 seconds.
	 * @param serve - serves the requests that expect this runner
	 * @param front - puts something before the runner, and returns the address to register
	 */
	const startRunner = async (
		id,
		service,
		{
			serve,
			slots = 6,
			zone = 'zone-1',
			ip = `${net}.2`,
			front = async (address) => address,
			control,
		},
	) => {
		const runner = {id, service, state: 'ready', arrivals: [], address: ''};
		const server = http.createServer(async (request, response) => {
			const body = await readAll(request);
			if (request.url.startsWith('/-/')) {
				if (control) {
					control(request, body, response);
				} else {
					response.writeHead(404).end();
				}

				return;
			}

			const attemptId = request.headers['cowslipspread-attempt-id'] ?? '';
			const expected = request.headers['cowslipspread-expect-instance'];
			response.setHeader('Cowslipspread-Attempt-Id', attemptId);
			if (expected !== undefined && expected !== id) {
				record(
					`runner ${id} (${service}) answers 421 to ${attemptId}, which expects ${expected}`,
				);
				response.setHeader('Cowslipspread-Instance-Id', id);
				response.writeHead(421).end();
				return;
			}

			const arrival = {
				attemptId,
				atMs: nowMs(),
				method: request.method,
				path: request.url,
				headers: request.headers,
				body,
			};
			runner.arrivals.push(arrival);
			serve(arrival, response, request);
		});
		server.keepAliveTimeout = 15_000;
		runner.address = await front(await listen(server, ip));
		runner.server = server;
		servers.push(server);
		let seq = 0;
		const bornMs = Date.now();
		runner.entry = () => ({
			service,
			address: runner.address,
			zone,
			version: 'v1',
			slots,
			state: runner.state,
			cold_left_ms: 0,
			seq: seq++,
			born: bornMs,
		});
		let last = '';
		runner.checkIn = () => {
			const {seq: _seq, ...entry} = runner.entry();
			const text = JSON.stringify(entry);
			const isChanged = text !== last || runner.isOverwritten;
			last = text;
			runner.isOverwritten = false;
			if (isChanged) {
				store.put('servers', id, {...entry, seq});
			}
		};

		runner.startCheckIns = () => {
			runner.checkIn();
			runner.timer = setInterval(runner.checkIn, 1200);
		};

		runner.stopCheckIns = () => {
			clearInterval(runner.timer);
		};

		runner.exit = () => {
			runner.stopCheckIns();
			server.close();
			server.closeAllConnections();
		};

		runners.push(runner);
		runner.startCheckIns();
		return runner;
	};

	return {
		net,
		agent,
		store,
		record,
		nowMs,
		startDaemon,
		waitUntilReady,
		startRunner,
		stopAll,
	};
}

/** Headers with which a runner answers a request that it has run. */
export const stamp = (runnerId, attemptId) => ({
	'Cowslipspread-Attempt-Id': attemptId,
	'Cowslipspread-Runner-Stamp': `${runnerId}.${attemptId}`,
});

/** Sends one request and reads the whole answer. */
export async function call(
	address,
	{
		method = 'GET',
		path: target = '/',
		headers = {},
		body,
		agent,
		timeoutMs = 45_000,
		onData,
	},
) {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		const request = http.request(
			{host, port, method, path: target, headers, agent},
			(response) => {
				const chunks = [];
				response.on('data', (chunk) => {
					chunks.push(chunk);
					onData?.(chunk);
				});
				response.on('error', reject);
				response.on('end', () => {
					resolve({
						status: response.statusCode,
						headers: response.headers,
						body: Buffer.concat(chunks).toString('latin1'),
						isWhole: response.complete,
					});
				});
				response.on('aborted', () => {
					const error = new Error('the answer ended early');
					error.status = response.statusCode;
					error.body = Buffer.concat(chunks).toString('latin1');
					reject(error);
				});
			},
		);
		request.setTimeout(timeoutMs, () => {
			request.destroy(new Error('no answer in time'));
		});
		request.on('error', reject);
		request.end(body);
	});
}

/**
 * Runs a case and sets the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param run - returns the breaks that were seen
 */
export async function runCase(recordFile, run) {
	let world;
	try {
		world = await createWorld(recordFile);
		const breaks = await run(world);
		for (const text of breaks) {
			world.record(`BROKEN: ${text}`);
		}

		world.record(breaks.length > 0 ? 'the rule was broken' : 'the rule held');
		process.exitCode = breaks.length > 0 ? 1 : 0;
	} catch (error) {
		world?.record(`could not run: ${error.stack}`);
		process.exitCode = 2;
	} finally {
		world?.stopAll();
	}
}
