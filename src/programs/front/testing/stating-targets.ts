import type {TestContext} from 'node:test';
import {findFreePorts} from '../../../experiments/fakes/index.js';
import {
	createScriptedTarget,
	createStoreStandin,
	type ReceivedRequest,
	responseHead,
	targetRow,
} from '../../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	type FixtureResponse,
	listenOn,
	startDaemon,
	until,
} from './front-fixture.js';

/** What a simulated target says of itself in its answers. */
export type Statement = {
	/** True if the target turns requests away; otherwise it serves them. */
	readonly isRefusing: boolean;
	/** Header lines that the answers carry besides. */
	readonly lines: readonly string[];
};

/** A request that reached a simulated target. */
export type Arrival = {
	/** Index of the VM that has passed the request on. */
	readonly vm: number;
	/** Monotonic time at which the caller sent it, in milliseconds. */
	readonly sentMs: number;
	/** Monotonic time at which it reached the target, in milliseconds. */
	readonly atMs: number;
	/** True if the answer carried a statement. */
	readonly isStated: boolean;
};

export type StatingTargetsOptions = {
	readonly context: TestContext;
	/** Addresses of the VMs. */
	readonly vmIps: readonly string[];
	readonly kind: 'call' | 'stream';
	/** True if a second target of the service serves everything. */
	readonly hasFreeTarget: boolean;
	/** Availability zone of the free target; that of the other one and of the VMs by default. */
	readonly freeZone?: string;
};

/** A caller's request and its response. */
export type SentRequest = {
	readonly sentMs: number;
	readonly doneMs: number;
	readonly response: FixtureResponse;
};

const report =
	'{"queued":0,"running":0,"kv_used":0,"kv_total":90000,"state":"ready"}';
const requestIntervalMs = 25;
const serviceMs = 10;

const routes = {
	call: {method: 'GET', path: '/stock/', service: 'desk'},
	stream: {method: 'POST', path: '/report/', service: 'model'},
} as const;

const servedAnswer = (request: ReceivedRequest, lines: readonly string[]) => {
	const event = 'id: 1\ndata: token\n\n';
	const head = responseHead(
		request,
		'Content-Type: text/event-stream',
		`Content-Length: ${event.length}`,
		...lines,
	);
	return head + event;
};

const refusingAnswer = ({id}: ReceivedRequest, lines: readonly string[]) =>
	[
		'HTTP/1.1 503 Service Unavailable',
		`Cowslipspread-Attempt-Id: ${id}`,
		'Cowslipspread-Not-Executed: 1',
		'Content-Length: 0',
		...lines,
		'',
		'',
	].join('\r\n');

/**
 * Starts a store that counts all targets as ready, a target whose statements a test sets, if wanted a free
 * one, and VMs in front of them.
 */
export async function startStatingTargets({
	context,
	vmIps,
	kind,
	hasFreeTarget,
	freeZone = 'zone-1',
}: StatingTargetsOptions) {
	const store = createStoreStandin();
	const arrivals: Arrival[] = [];
	let statement: Statement | undefined;
	const {method, path, service} = routes[kind];

	const createTarget = (isStating: boolean) =>
		createScriptedTarget((request, socket) => {
			if (request.head.startsWith('GET /-/')) {
				socket.write(
					`HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`,
				);
				return;
			}

			const current = isStating ? statement : undefined;
			const [, vm, sentMs] = request.id.split('-').map(Number);
			if (isStating) {
				const isStated = current !== undefined;
				arrivals.push({vm, sentMs, atMs: performance.now(), isStated});
			}

			const lines = current?.lines ?? [];
			setTimeout(() => {
				socket.write(
					current?.isRefusing
						? refusingAnswer(request, lines)
						: servedAnswer(request, lines),
				);
			}, serviceMs);
		});

	const storePort = await listenOn(context, store.server);
	store.put('op', 'config', fixtureConfiguration(3));
	for (const [index, isStating] of [true, false].entries()) {
		if (isStating || hasFreeTarget) {
			const port = await listenOn(context, createTarget(isStating).server);
			const row = {
				...targetRow(service, `127.0.0.1:${port}`),
				zone: isStating ? 'zone-1' : freeZone,
			};
			store.put('servers', `t${index + 1}`, row);
		}
	}

	const ports = await findFreePorts(3);
	const daemons = await Promise.all(
		vmIps.map(async (ip, index) =>
			startDaemon(context, storePort, ports, {
				name: `vm-${index}`,
				ip,
				seedIps: vmIps,
			}),
		),
	);
	for (const daemon of daemons) {
		await until(daemon.isReady);
	}

	let requestCount = 0;
	const sendOne = async (): Promise<SentRequest> => {
		const sentMs = performance.now();
		const vm = requestCount % vmIps.length;
		const id = `q${requestCount++}-${vm}-${Math.round(sentMs)}`;
		const response = await call(
			{host: vmIps[vm], port: ports[0]},
			path + id,
			{
				'Cowslipspread-Attempt-Id': id,
				'Cowslipspread-Model': 'm',
				'Cowslipspread-Token-Counts': '100,4',
				'Cowslipspread-Prompt-Prefix': `a1:80,${id}:20`,
			},
			method,
		);
		return {sentMs, doneMs: performance.now(), response};
	};

	return {
		store,
		arrivals,
		/** Sets what the target says from now on; undefined for nothing. */
		state(next: Statement | undefined) {
			statement = next;
		},
		/** Asks all VMs to send nothing to the targets of some availability zones, and of no others. */
		evacuate(...zones: string[]) {
			for (const zone of zones) {
				store.put('op', `evacuate/${zone}`, {});
			}

			for (const {daemon} of daemons) {
				daemon.evacuatedZones.replace(zones);
			}
		},
		/** Sends requests to all VMs in turn for some time. */
		async sendFor(durationMs: number): Promise<SentRequest[]> {
			const requests: Array<Promise<SentRequest>> = [];
			const endMs = performance.now() + durationMs;
			while (performance.now() < endMs) {
				requests.push(sendOne());
				await new Promise((resolve) => {
					setTimeout(resolve, requestIntervalMs);
				});
			}

			return Promise.all(requests);
		},
	};
}
