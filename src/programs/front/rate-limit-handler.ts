import {
	type Clock,
	createDisposableStore,
	type Disposable,
	type RandomSource,
	type Timers,
} from '../../common/index.js';
import {
	createPermitClient,
	type FleetMessage,
	type MemberList,
	type PermitClient,
	type PermitDecisionMessage,
	type PermitRequestMessage,
	type RateLimitsMessage,
} from '../../decisions/fleet/index.js';
import type {
	RateLimitReport,
	RateLimitTable,
} from '../../decisions/rate-limits/index.js';

export type RateLimitHandlerOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	/** Address of this VM. */
	readonly address: string;
	readonly members: MemberList;
	/** Monotonic time at which this VM became coordinator, in milliseconds; Infinity if it is not. */
	readonly coordinatorSinceMs: () => number;
	readonly table: RateLimitTable;
	/** Lower of the limit that a target has stated and that of a cold target, in requests per second. */
	readonly limitOf: (targetId: string) => number | undefined;
	readonly send: (to: string, message: FleetMessage) => void;
};

/**
 * Exchanges the targets' rate limits with the other VMs, and hands out the permits to send requests to such
 * targets while this VM is the coordinator.
 */
export type RateLimitHandler = Disposable & {
	readonly permitClient: PermitClient;
	handle(
		from: string,
		message: PermitDecisionMessage | PermitRequestMessage | RateLimitsMessage,
	): void;
	/** Sends all known limits to a VM that has just joined. */
	sendTo(address: string): void;
	/** Sends the limits in force again, since datagrams get lost; called at regular intervals. */
	tick(): void;
};

/** Time for which changes are collected before they are sent together, in milliseconds. */
const batchDelayMs = 10;
/** Largest number of limits in one datagram. */
const maxReportsPerMessage = 200;

export function createRateLimitHandler(
	options: RateLimitHandlerOptions,
): RateLimitHandler {
	const {clock, timers, address, members, table, send} = options;
	const owned = createDisposableStore();
	let announcement: Disposable | undefined;
	let announcedMs = -Infinity;

	const permitClient = createPermitClient({
		...options,
		ownAddress: address,
	});

	const sendReports = (
		receivers: Iterable<string>,
		reports: readonly RateLimitReport[],
	) => {
		for (let start = 0; start < reports.length; start += maxReportsPerMessage) {
			const message: RateLimitsMessage = {
				kind: 'rate-limits',
				reports: reports.slice(start, start + maxReportsPerMessage),
			};
			for (const receiver of receivers) {
				send(receiver, message);
			}
		}
	};

	/** The coordinator tells all VMs what it knows; the others tell it and its standby what they observe. */
	const announce = () => {
		const isFirst = members.coordinator.address === address;
		const reports = isFirst ? table.reports() : table.ownReports(announcedMs);
		announcedMs = clock.nowMs();
		if (reports.length > 0) {
			const receivers = isFirst
				? [...members.peerAddresses()]
				: members
						.coordinatorAndStandby()
						.map((member) => member.address)
						.filter((receiver) => receiver !== address);
			sendReports(receivers, reports);
		}
	};

	owned.add(
		table.onChanged(() => {
			announcement ??= timers.after(batchDelayMs, () => {
				announcement = undefined;
				announce();
			});
		}),
	);

	return {
		permitClient,
		handle(from, message) {
			switch (message.kind) {
				case 'rate-limits': {
					for (const report of message.reports) {
						table.recordReport(report);
					}

					break;
				}

				case 'permit': {
					const {id, request} = message;
					const decision = permitClient.decideFor(request);
					send(from, {kind: 'permit-answer', id, decision});
					break;
				}

				case 'permit-answer': {
					permitClient.handleDecision(from, message.id, message.decision);
					break;
				}
			}
		},
		sendTo(to) {
			sendReports([to], table.reports());
		},
		tick() {
			permitClient.sweep();
			announce();
		},
		dispose() {
			announcement?.dispose();
			owned.dispose();
		},
	};
}
