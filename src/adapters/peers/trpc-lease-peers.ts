import {
	LeasePeers,
	ProblemError,
	type StopResponse,
	type StopRequest,
	toProblem,
} from '../../common/index.js';
import {createPeerClient} from './peer-client.js';

export type TrpcLeasePeersOptions = {
	/** Returns the `address:port` of a VM, or undefined if the VM is unknown. */
	readonly addressOf: (vmInstanceId: string) => string | undefined;
	/** Peer token of the fleet. */
	readonly token: string;
	/** Time until a call fails, in milliseconds. */
	readonly timeoutMs: number;
};

/** Sends requests over tRPC to the earlier holders of leases to confirm that they have stopped sending. */
export class TrpcLeasePeers extends LeasePeers {
	constructor(private readonly options: TrpcLeasePeersOptions) {
		super();
	}

	override async confirmStop(request: StopRequest): Promise<StopResponse> {
		const {vmInstanceId} = request.holder;
		const address = this.options.addressOf(vmInstanceId);
		if (address === undefined) {
			throw new ProblemError(
				'peer-unavailable',
				`VM "${vmInstanceId}" is not in the VM list`,
			);
		}

		const client = createPeerClient({
			url: `http://${address}`,
			token: this.options.token,
			timeoutMs: this.options.timeoutMs,
		});
		try {
			return await client.confirmStop.mutate(request);
		} catch (error) {
			throw new ProblemError(
				'peer-unavailable',
				`request for stop confirmation to VM "${vmInstanceId}" failed`,
				{cause: toProblem(error)},
			);
		}
	}
}
