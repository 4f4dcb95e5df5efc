import type {AddressInfo, Socket} from 'node:net';
import process from 'node:process';
import {
	createPeerClient,
	createPeerServer,
	type PeerClient,
} from '../../adapters/peers/index.js';
import {SystemClock} from '../../adapters/system/index.js';
import {
	ProblemError,
	SeededRandomSource,
	type VmEntry,
} from '../../common/index.js';
import {
	createMemberNode,
	type MemberNode,
	packMessage,
	tickMs,
	unpackMessage,
} from '../../decisions/membership/index.js';

/**
 * Figures of daemons that exchange membership messages over tRPC on the loopback interface, for each
 * daemon and second.
 */
export type LoopbackFigures = {
	readonly members: number;
	readonly exchanges: number;
	readonly failedExchanges: number;
	/** Bytes that a daemon sends in requests and responses, HTTP headers included. */
	readonly sentBytes: number;
	/** Bytes of the request and response bodies. */
	readonly bodyBytes: number;
	/** Processor time, in milliseconds. */
	readonly processorMs: number;
};

type Daemon = {
	readonly node: MemberNode;
	readonly server: ReturnType<typeof createPeerServer>;
	readonly sockets: Set<Socket>;
	entry: VmEntry;
};

const token = 'peer-token';
const accountCount = 510;
const targetCount = 257;
const maxBodyBytes = 65_536;
const timeoutMs = 2000;
const estimateTokens = 600;
const chargedTokens = 24;
const secondMs = 1000;

const wait = async (durationMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});

const notMeasured = (): never => {
	throw new ProblemError(
		'internal',
		'this procedure is not part of the measurement',
	);
};

/**
 * Measures the memberships of daemons that all run in this process, after a warm-up of two seconds.
 * @param durationMs - time that is measured, in milliseconds
 */
export async function measureLoopback(
	members: number,
	durationMs: number,
): Promise<LoopbackFigures> {
	const clock = new SystemClock();
	const random = new SeededRandomSource(members);
	const clients = new Map<string, PeerClient>();
	const daemons: Daemon[] = [];
	let exchanges = 0;
	let failedExchanges = 0;
	let bodyBytes = 0;

	const createDaemon = async (index: number) => {
		const address = {
			name: `entry-${index}`,
			address: '',
			availabilityZone: `zone-${index % 4}`,
			region: 'region-0',
		};
		const node = createMemberNode({
			self: address,
			incarnation: clock.wallMs(),
			random: new SeededRandomSource(random.nextInt(1_000_000)),
			nowMs: () => clock.nowMs(),
			wallMs: () => clock.wallMs(),
			configurationVersion: () => 1,
			stopping: () => false,
			contractOf: () => ({
				floorTokensPerMinute: 1000,
				ceilingTokensPerMinute: 3000 * members,
				shareWeight: 1,
			}),
			ownActivity: () =>
				Array.from({length: targetCount}, (_, target) => ({
					targetId: `engine-${target}`,
					openCount: 4,
					openTokens: 4000 + random.nextInt(1000),
					expectedGrowthTokens: 1000,
				})),
		});
		const sockets = new Set<Socket>();
		const server = createPeerServer({
			peerToken: token,
			operatorToken: 'operator-token',
			maxBodyBytes,
			status: notMeasured,
			bookingStatus: notMeasured,
			confirmStop: notMeasured,
			explain: notMeasured,
			configurationAfter: () => [],
			markTargetLeaving() {
				// Not part of the measurement.
			},
			exchange(message) {
				const response = packMessage(
					node.membership.handleRequest(unpackMessage(message), clock.nowMs()),
				);
				bodyBytes += JSON.stringify(response).length;
				return response;
			},
			metricsText: () => '',
		});
		server.on('connection', (socket: Socket) => {
			sockets.add(socket);
		});
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		address.address = `127.0.0.1:${port}`;
		const entry: VmEntry = {
			...address,
			instanceId: address.name,
			role: 'entry',
			state: 'live',
		};
		daemons.push({node, server, sockets, entry});
	};

	const clientFor = (address: string) => {
		let client = clients.get(address);
		if (!client) {
			client = createPeerClient({url: `http://${address}`, token, timeoutMs});
			clients.set(address, client);
		}

		return client;
	};

	const tick = async ({node}: Daemon) => {
		for (const {peer, message} of node.tick()) {
			exchanges++;
			try {
				const packed = packMessage(message);
				bodyBytes += JSON.stringify(packed).length;
				const response = await clientFor(peer.address).exchange.mutate(packed);
				node.membership.handleResponse(unpackMessage(response), clock.nowMs());
			} catch {
				failedExchanges++;
				node.membership.recordFailure(peer.name, clock.nowMs());
			}
		}
	};

	const generateLoad = ({node}: Daemon) => {
		for (let account = 0; account < accountCount; account++) {
			const reservation = node.ledger.reserve(
				`account-${account}`,
				estimateTokens,
				clock.wallMs(),
			);
			const tokens = random.nextInt(2 * chargedTokens);
			node.ledger.charge(reservation, tokens, clock.wallMs());
			node.ledger.release(reservation);
		}
	};

	for (let index = 0; index < members; index++) {
		await createDaemon(index);
	}

	const vmList = daemons.map(({entry}) => entry);
	const timers: NodeJS.Timeout[] = [];
	for (const daemon of daemons) {
		daemon.node.recordVmList(vmList);
		timers.push(
			setInterval(() => {
				void tick(daemon);
			}, tickMs),
			setInterval(() => {
				generateLoad(daemon);
			}, secondMs),
		);
	}

	const socketBytes = () =>
		daemons
			.flatMap(({sockets}) => [...sockets])
			.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
	await wait(2 * secondMs);
	const before = {
		exchanges,
		failedExchanges,
		bodyBytes,
		bytes: socketBytes(),
	};
	const startedMs = clock.nowMs();
	const processorBefore = process.cpuUsage();
	await wait(durationMs);
	const processor = process.cpuUsage(processorBefore);
	const daemonSeconds = (members * (clock.nowMs() - startedMs)) / secondMs;
	const figures = {
		members,
		exchanges: (exchanges - before.exchanges) / daemonSeconds,
		failedExchanges: (failedExchanges - before.failedExchanges) / daemonSeconds,
		sentBytes: (socketBytes() - before.bytes) / daemonSeconds,
		bodyBytes: (bodyBytes - before.bodyBytes) / daemonSeconds,
		processorMs: (processor.user + processor.system) / 1000 / daemonSeconds,
	};
	for (const timer of timers) {
		clearInterval(timer);
	}

	await wait(secondMs);
	for (const {server} of daemons) {
		server.close();
		server.closeAllConnections();
	}

	return Object.fromEntries(
		Object.entries(figures).map(([name, value]) => [
			name,
			Math.round(value * 100) / 100,
		]),
	) as LoopbackFigures;
}
