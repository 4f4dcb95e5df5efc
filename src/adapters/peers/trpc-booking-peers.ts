import {LRUCache} from 'lru-cache';
import {ProblemError, toProblem} from '../../common/index.js';
import {
	BookingPeers,
	type BookingStatusRequest,
	type BookingStatus,
} from '../../decisions/bookings/index.js';
import {createPeerClient, type PeerClient} from './peer-client.js';
import {maxBookingWaitMs} from './peer-router.js';

/** Options of the questions to owners of booking records. */
export type TrpcBookingPeersOptions = {
	readonly token: string;
	/** Time for the network beyond the time that the owner waits, in milliseconds. */
	readonly networkAllowanceMs: number;
};

const maxClients = 400;

/** Owners of booking records, asked over tRPC. */
export class TrpcBookingPeers extends BookingPeers {
	private readonly clients = new LRUCache<string, PeerClient>({
		max: maxClients,
	});

	constructor(private readonly options: TrpcBookingPeersOptions) {
		super();
	}

	override async requestStatus(
		address: string,
		question: BookingStatusRequest,
	): Promise<BookingStatus> {
		// Timeout signals take whole milliseconds only.
		const waitMs = Math.ceil(Math.min(question.waitMs, maxBookingWaitMs));
		try {
			return await this.clientOf(address).bookingStatus.query(
				{...question, waitMs},
				{signal: AbortSignal.timeout(waitMs + this.options.networkAllowanceMs)},
			);
		} catch (error) {
			throw new ProblemError(
				'peer-unavailable',
				'the owner of a booking record could not be asked',
				{cause: toProblem(error)},
			);
		}
	}

	private clientOf(address: string): PeerClient {
		const known = this.clients.get(address);
		if (known) {
			return known;
		}

		const client = createPeerClient({
			url: `http://${address}`,
			token: this.options.token,
			timeoutMs: maxBookingWaitMs + this.options.networkAllowanceMs,
		});
		this.clients.set(address, client);
		return client;
	}
}
