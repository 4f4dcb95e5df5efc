import {LRUCache} from 'lru-cache';
import {ProblemError, toProblem} from '../../common/index.js';
import {
	BookingPeers,
	type BookingStatusRequest,
	type BookingStatus,
} from '../../decisions/bookings/index.js';
import {createPeerClient, type PeerClient} from './peer-client.js';
import {maxBookingWaitMs} from './peer-router.js';

export type TrpcBookingPeersOptions = {
	/** Peer token of the fleet. */
	readonly token: string;
	/** Time for the network, in addition to the time that the owner may wait, in milliseconds. */
	readonly networkAllowanceMs: number;
};

const maxClients = 400;

/** Queries the owners of booking records over tRPC. */
export class TrpcBookingPeers extends BookingPeers {
	private readonly clients = new LRUCache<string, PeerClient>({
		max: maxClients,
	});

	constructor(private readonly options: TrpcBookingPeersOptions) {
		super();
	}

	override async requestStatus(
		address: string,
		request: BookingStatusRequest,
	): Promise<BookingStatus> {
		// `AbortSignal.timeout` takes whole milliseconds only.
		const waitMs = Math.ceil(Math.min(request.waitMs, maxBookingWaitMs));
		try {
			return await this.clientOf(address).bookingStatus.query(
				{...request, waitMs},
				{signal: AbortSignal.timeout(waitMs + this.options.networkAllowanceMs)},
			);
		} catch (error) {
			throw new ProblemError(
				'peer-unavailable',
				'status of a booking could not be read from the owner of its record',
				{cause: toProblem(error)},
			);
		}
	}

	private clientOf(address: string): PeerClient {
		const cached = this.clients.get(address);
		if (cached) {
			return cached;
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
