// Shared parts of the scripts under review/: a small deployment of real front daemons on loopback
// addresses, a store, and targets whose behaviour each script sets. Everything runs on the real clock.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {
	createServer as createHttpServer,
	request as httpRequest,
} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

export const repository = path.resolve(
	path.dirname(fileURLToPath(import.meta.url)),
	'../..',
);
/** False for the run without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';
export const apiKey = 'key-1';
export const hostName = 'a.example';

export const sleep = async (ms) =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

/** Writes the record of a run: what was sent, answered and run. */
export function openRecord(folder) {
	const file = path.join(folder, 'record.txt');
	const startedMs = performance.now();
	writeFileSync(file, `trouble: ${hasTrouble ? 'yes' : 'no'}\n`);
	return (text) => {
		const atMs = (performance.now() - startedMs).toFixed(0).padStart(6);
		appendFileSync(file, `${atMs} ms  ${text}\n`);
	};
}

export async function listen(server, port, host) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return server.address().port;
}

/** A free port on an address, found by listening there for a moment. */
export async function freePort(host) {
	const server = createTcpServer();
	const port = await listen(server, 0, host);
	await new Promise((resolve) => {
		server.close(resolve);
	});
	return port;
}

/** A store with rows and a change feed, as PROTOCOL.md describes them. */
export function createStore() {
	const rows = new Map();
	let changes = [];
	let version = 1;
	const wire = ({table, key, value, version: ver}) => ({
		table,
		part: '',
		key,
		ver,
		...(value === undefined
			? {tombstone: true}
			: {value: Buffer.from(value).toString('base64')}),
	});
	const put = (table, key, value) => {
		version++;
		const change = {
			table,
			key,
			value: value === undefined ? undefined : JSON.stringify(value),
			version,
		};
		changes = [...changes, change].slice(-500);
		if (value === undefined) {
			rows.delete(`${table}/${key}`);
		} else {
			rows.set(`${table}/${key}`, change);
		}
	};

	const respond = (response, list) => {
		response.end(
			JSON.stringify({
				rows: list.map((row) => wire(row)),
				more_pages: false,
				ver: version,
				now_ms: Math.round(performance.now()),
			}),
		);
	};

	const follow = (response, query, untilMs) => {
		const after = Number(query.get('after_rev'));
		const found = changes.filter(
			(change) => change.table === query.get('table') && change.version > after,
		);
		if (found.length > 0 || performance.now() >= untilMs) {
			respond(response, found);
		} else if (!response.destroyed) {
			setTimeout(() => {
				follow(response, query, untilMs);
			}, 10);
		}
	};

	const server = createHttpServer((request, response) => {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		let body = '';
		request.on('data', (chunk) => {
			body += chunk.toString('utf8');
		});
		request.on('end', () => {
			switch (pathname) {
				case '/-/rows-get': {
					const table = searchParams.get('table');
					respond(
						response,
						[...rows.values()]
							.filter((row) => row.table === table)
							.sort((a, b) => (a.key < b.key ? -1 : 1)),
					);

					break;
				}

				case '/-/rows-feed': {
					const waitMs = Number(searchParams.get('wait_ms'));
					follow(response, searchParams, performance.now() + waitMs);

					break;
				}

				case '/-/rows-tx': {
					for (const {table, key, value} of JSON.parse(body).writes ?? []) {
						put(
							table,
							key,
							JSON.parse(Buffer.from(value, 'base64').toString()),
						);
					}

					response.end(JSON.stringify({ver: version, now_ms: 0}));

					break;
				}

				default: {
					response.writeHead(404).end('{}');
				}
			}
		});
	});
	return {server, put};
}

/**
 * A target on a raw socket. `serve(request, socket)` gets each request whole, with `id`, `method`,
 * `path`, `headers` and `body`; one request at a time on a connection.
 */
export function createTarget(serve) {
	const sockets = new Set();
	const server = createTcpServer((socket) => {
		sockets.add(socket);
		let input = Buffer.alloc(0);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		socket.on('error', () => {
			// The daemon has closed the connection.
		});
		socket.on('data', (chunk) => {
			input = Buffer.concat([input, chunk]);
			for (;;) {
				const end = input.indexOf('\r\n\r\n');
				if (end === -1) {
					return;
				}

				const [line, ...lines] = input
					.subarray(0, end)
					.toString('latin1')
					.split('\r\n');
				const headers = new Map(
					lines.map((text) => {
						const colon = text.indexOf(':');
						return [
							text.slice(0, colon).toLowerCase(),
							text.slice(colon + 1).trim(),
						];
					}),
				);
				const length = Number(headers.get('content-length') ?? 0);
				if (input.length < end + 4 + length) {
					return;
				}

				const body = input.subarray(end + 4, end + 4 + length);
				input = input.subarray(end + 4 + length);
				const [method, requestPath] = line.split(' ');
				serve(
					{
						method,
						path: requestPath,
						headers,
						body,
						id: headers.get('cowslipspread-attempt-id'),
					},
					socket,
				);
			}
		});
	});
	return {server, sockets};
}

/** The head of a target's answer to a request. */
export const answerHead = (request, status, ...lines) =>
	[
		`HTTP/1.1 ${status} ${status === 200 ? 'OK' : 'Status'}`,
		`Cowslipspread-Attempt-Id: ${request.id}`,
		'Cowslipspread-Runner-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1',
		...lines,
		'',
		'',
	].join('\r\n');

/** Answers the control calls that a daemon makes to engines; true if the request was one. */
export function answerControl(request, socket) {
	if (!request.path.startsWith('/-/')) {
		return false;
	}

	const text =
		request.path === '/-/report'
			? '{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":2,"queued":0,"running":0,"kv_used":0,"kv_total":34348,"handles":0}'
			: '{}';
	const status = request.path === '/-/report' ? 200 : 404;
	socket.write(
		`HTTP/1.1 ${status} OK\r\nContent-Type: application/json\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
	);
	return true;
}

/** The operator's configuration with the routes of a small deployment. */
export function configuration(version, overrides = {}) {
	const route = (name, fields) => ({
		name,
		hostname: hostName,
		prefix: `/${name}/`,
		priority: 1,
		max_attempts: fields.kind === 'idempotent' ? 2 : 1,
		...fields,
	});
	const stream = {
		kind: 'stream',
		service: 'arvioija',
		target_gap_ms: 180,
		sticky: true,
	};
	const call = {
		service: 'tilauspoyta',
		timeout_ms: 1000,
		target_latency_ms: 193,
	};
	return {
		version,
		routes: [
			route('report', {
				...stream,
				timeout_ms: 39_000,
				target_latency_ms: 1800,
			}),
			route('check', {...stream, timeout_ms: 6000, target_latency_ms: 1500}),
			route('book', {...call, kind: 'non_idempotent'}),
			route('stock', {...call, kind: 'idempotent'}),
		],
		services: [{name: 'arvioija'}, {name: 'tilauspoyta'}],
		tenants: [{name: 'huka270', api_keys: [apiKey]}],
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 1_048_576,
			header_timeout_ms: 5000,
			idle_timeout_ms: 10_000,
		},
		...overrides,
	};
}

export const targetRow = (service, address, more = {}) => ({
	service,
	address,
	zone: 'pirk-a',
	version: '1',
	slots: service === 'arvioija' ? 24 : 6,
	state: 'ready',
	cold_left_ms: 0,
	seq: 1,
	born: 1_700_000_000_000,
	...more,
});

/** Starts front daemons with the command of the deploy file. */
export function createDeployment({record, vmCount = 1}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	// Loopback addresses of their own, since the ports of a VM are the same on all VMs.
	const network = `127.${100 + (process.pid % 100)}.${Math.trunc(process.pid / 100) % 250}`;
	const vms = [];
	const store = createStore();
	const targets = [];

	const bootFile = (index, storePort, ports) => ({
		node: `edge-pirk-a-${index}`,
		role: 'front',
		machine_class: 'edge',
		serves: ['edge', 'control'],
		ip: `${network}.${index}`,
		zone: 'pirk-a',
		region: 'pirkanmaa',
		zones: {'pirk-a': 'pirkanmaa'},
		listen: {
			front: `${network}.${index}:${ports.front}`,
			ready: `${network}.${index}:${ports.ready}`,
			control: `${network}.${index}:${ports.control}`,
		},
		port_range: [ports.peer, ports.peer + 1],
		seed_nodes: Array.from(
			{length: Math.min(3, vmCount)},
			(_, seed) => `${network}.${seed + 1}:${ports.control}`,
		),
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
		bounds: {
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
		},
		platform: {
			address: `127.0.0.1:${storePort}`,
			form: 'table',
			writes_per_s: 400,
			reads_per_s: 2000,
			tx_ms: 8,
			history_s: 20,
		},
	});

	// A script that is cut off by a signal ends its daemons too.
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, () => {
			for (const {child} of vms) {
				child.kill('SIGKILL');
			}

			process.kill(process.pid, 'SIGKILL');
		});
	}

	const startVm = (vm) => {
		vm.exit = undefined;
		vm.output = '';
		// The run line of deploy/system.toml.
		vm.child = spawn(
			'node',
			[
				'--max-old-space-size=96',
				'--max-semi-space-size=2',
				'target/front.cjs',
			],
			{
				cwd: repository,
				env: {
					PATH: process.env.PATH,
					HOME: folder,
					LANG: 'C.UTF-8',
					COWSLIPSPREAD_BOOT: vm.bootFile,
				},
				stdio: ['ignore', 'pipe', 'pipe'],
			},
		);
		const keep = (chunk) => {
			vm.output = (vm.output + chunk.toString('utf8')).slice(-200_000);
		};

		vm.child.stdout.on('data', keep);
		vm.child.stderr.on('data', keep);
		vm.child.on('exit', (code, signal) => {
			vm.exit = {code, signal};
			record(`${vm.name} exited: code ${code}, signal ${signal}`);
		});
		record(`${vm.name} started`);
	};

	const isReady = async (vm) =>
		new Promise((resolve) => {
			const request = httpRequest(
				{host: vm.ip, port: vm.ports.ready, path: '/-/readyz', agent: false},
				(response) => {
					response.resume();
					resolve(response.statusCode === 200);
				},
			);
			request.setTimeout(500, () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(false);
			});
			request.end();
		});

	return {
		store,
		vms,
		startVm,
		isReady,
		/** Adds a target and its row; `serve` as for `createTarget`. */
		async addTarget(id, service, serve, rowFields = {}) {
			const target = createTarget(serve);
			const port = await listen(target.server, 0, '127.0.0.1');
			store.put(
				'servers',
				id,
				targetRow(service, `127.0.0.1:${port}`, rowFields),
			);
			targets.push(target);
			return {...target, port};
		},
		async start(operatorConfiguration) {
			const storePort = await listen(store.server, 0, '127.0.0.1');
			store.put('op', 'config', operatorConfiguration);
			const first = `${network}.1`;
			const ports = {
				front: await freePort(first),
				ready: await freePort(first),
				control: await freePort(first),
				peer: await freePort(first),
			};
			for (let index = 1; index <= vmCount; index++) {
				const boot = path.join(folder, `boot-${index}.json`);
				const content = bootFile(index, storePort, ports);
				writeFileSync(boot, JSON.stringify(content));
				const vm = {
					name: content.node,
					ip: content.ip,
					ports,
					bootFile: boot,
				};
				vms.push(vm);
				startVm(vm);
			}

			for (const vm of vms) {
				let isUp = false;
				for (let tries = 0; tries < 200 && !isUp && !vm.exit; tries++) {
					isUp = await isReady(vm);
					if (!isUp) {
						await sleep(50);
					}
				}

				if (!isUp) {
					throw new Error(`${vm.name} is not ready: ${vm.output.slice(-2000)}`);
				}
			}

			// Discovery of the other VMs is over, and the machines are in touch.
			await sleep(3500);
		},
		async stop() {
			for (const vm of vms) {
				if (!vm.exit) {
					vm.child.kill('SIGKILL');
				}
			}

			store.server.close();
			store.server.closeAllConnections();
			for (const {server, sockets} of targets) {
				server.close();
				for (const socket of sockets) {
					socket.destroy();
				}
			}

			await sleep(100);
			rmSync(folder, {recursive: true, force: true});
		},
	};
}

/**
 * Sends one request as a client does.
 * @returns status, headers and body, `ended` false if the channel broke before the answer was complete;
 *   status 0 if there was no answer
 */
export async function send(
	vm,
	{
		id,
		method = 'POST',
		path: requestPath,
		headers = {},
		body,
		deadlineMs,
		agent,
	},
) {
	return new Promise((resolve) => {
		const request = httpRequest(
			{
				host: vm.ip,
				port: vm.ports.front,
				path: requestPath,
				method,
				agent: agent ?? false,
				headers: {
					Host: hostName,
					'Cowslipspread-Attempt-Id': id,
					'Cowslipspread-Deadline-Ms': String(deadlineMs),
					'Api-Key': apiKey,
					...headers,
				},
			},
			(response) => {
				const chunks = [];
				const done = (ended) => {
					resolve({
						status: response.statusCode,
						headers: response.headers,
						body: Buffer.concat(chunks).toString('latin1'),
						ended,
					});
				};

				response.on('data', (chunk) => {
					chunks.push(chunk);
				});
				response.on('end', () => {
					done(response.complete);
				});
				response.on('error', () => {
					done(false);
				});
			},
		);
		request.on('error', (error) => {
			resolve({
				status: 0,
				headers: {},
				body: '',
				ended: false,
				error: error.code,
			});
		});
		request.setTimeout(deadlineMs + 2000, () => {
			request.destroy();
		});
		request.end(body);
	});
}

export const generationHeaders = (
	part,
	promptTokens = 200,
	outputTokens = 400,
) => ({
	'Cowslipspread-Model': 'm',
	'Cowslipspread-Token-Counts': `${promptTokens},${outputTokens}`,
	'Cowslipspread-Prompt-Prefix': `${part}:${promptTokens}`,
});

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, play) {
	const record = openRecord(folder);
	try {
		const broken = await play(record);
		record(broken ? `BROKEN: ${broken}` : 'held');
		console.log(broken ? `BROKEN: ${broken}` : 'held');
		process.exitCode = broken ? 1 : 0;
	} catch (error) {
		record(`could not run: ${error.stack}`);
		console.log(`could not run: ${error.message}`);
		process.exitCode = 2;
	}
}
