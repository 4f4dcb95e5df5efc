import type {Disposable, Timers} from '../../common/index.js';
import type {FleetMessage} from './fleet-message-types.js';
import type {MemberList} from './member-list.js';
import type {RetryPool} from './retry-pool.js';

/** Asks the coordinator for repeated sends beyond the share of this VM. */
export type RetryClient = {
	/**
	 * @param onAnswer - called once, unless disposed before
	 * @returns disposing it drops the answer
	 */
	request(service: string, onAnswer: (isGranted: boolean) => void): Disposable;
	/** An answer arrived. */
	handleDecision(id: string, isGranted: boolean): void;
};

/** What a client works with. */
export type RetryClientOptions = {
	readonly timers: Timers;
	readonly ownAddress: string;
	readonly members: MemberList;
	/** Gives where no other VM does. */
	readonly pool: RetryPool;
	readonly send: (address: string, message: FleetMessage) => void;
};

/** Time in which a coordinator answers, in milliseconds. */
const answerMs = 80;
/** Datagrams get lost. */
const maxAsks = 2;

/** Creates a client that has asked nothing. */
export function createRetryClient(options: RetryClientOptions): RetryClient {
	const {timers, members, send} = options;
	const open = new Map<string, (isGranted: boolean) => void>();
	let count = 0;

	const finish = (id: string, isGranted: boolean) => {
		const onAnswer = open.get(id);
		open.delete(id);
		onAnswer?.(isGranted);
	};

	const askOnce = (id: string, service: string, asks: number) => {
		const {address} = members.coordinator;
		if (address === options.ownAddress) {
			finish(id, options.pool.tryTake(service));
			return;
		}

		send(address, {kind: 'retry', id, service});
		timers.after(answerMs, () => {
			if (!open.has(id)) {
				return;
			}

			if (asks < maxAsks) {
				askOnce(id, service, asks + 1);
			} else {
				finish(id, false);
			}
		});
	};

	return {
		request(service, onAnswer) {
			count++;
			const id = String(count);
			open.set(id, onAnswer);
			askOnce(id, service, 1);
			return {
				dispose() {
					open.delete(id);
				},
			};
		},
		handleDecision: finish,
	};
}
