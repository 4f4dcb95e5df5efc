import type {Disposable, Timers} from '../../common/index.js';
import type {FleetMessage} from './fleet-message-types.js';
import type {MemberList} from './member-list.js';
import type {RetryPool} from './retry-pool.js';

/** Requests retries from the coordinator's pool once this VM's own share is used up. */
export type RetryClient = {
	/**
	 * Requests one retry of a request to a service. If this VM ranks first, the decision may come before this
	 * returns.
	 * @param onDecision - called once unless disposed before; with false also if the coordinator does not
	 *   respond
	 * @returns disposing it discards the decision
	 */
	request(
		service: string,
		onDecision: (isGranted: boolean) => void,
	): Disposable;
	/** Handles a decision received from the coordinator; one that is not expected has no effect. */
	handleDecision(id: string, isGranted: boolean): void;
};

export type RetryClientOptions = {
	readonly timers: Timers;
	readonly ownAddress: string;
	readonly members: MemberList;
	/** Pool of this VM, used while it ranks first. */
	readonly pool: RetryPool;
	readonly send: (address: string, message: FleetMessage) => void;
};

/** Time for a coordinator to respond, in milliseconds. */
const responseTimeoutMs = 80;
/** More than one, since datagrams get lost. */
const maxAttempts = 2;

export function createRetryClient(options: RetryClientOptions): RetryClient {
	const {timers, members, send} = options;
	const pending = new Map<string, (isGranted: boolean) => void>();
	let requestCount = 0;

	const handleDecision = (id: string, isGranted: boolean) => {
		const onDecision = pending.get(id);
		pending.delete(id);
		onDecision?.(isGranted);
	};

	const attempt = (id: string, service: string, attempts: number) => {
		const {address} = members.coordinator;
		if (address === options.ownAddress) {
			handleDecision(id, options.pool.tryTake(service));
			return;
		}

		send(address, {kind: 'retry', id, service});
		timers.after(responseTimeoutMs, () => {
			if (!pending.has(id)) {
				return;
			}

			if (attempts < maxAttempts) {
				attempt(id, service, attempts + 1);
			} else {
				handleDecision(id, false);
			}
		});
	};

	return {
		request(service, onDecision) {
			requestCount++;
			const id = String(requestCount);
			pending.set(id, onDecision);
			attempt(id, service, 1);
			return {
				dispose() {
					pending.delete(id);
				},
			};
		},
		handleDecision,
	};
}
