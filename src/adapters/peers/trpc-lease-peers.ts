import {
	LeasePeers,
	ProblemError,
	type StopResponse,
	type StopRequest,
	toProblem,
} from '../../common/index.js';
import {createPeerClient} from './peer-client.js';

/** Options of the questions to earlier lease holders. */
export type TrpcLeasePeersOptions = {
	/** `address:port` of a VM, or undefined if it is not known. */
	readonly addressOf: (vmInstanceId: string) => string | undefined;
	readonly token: string;
	/** Time until a call fails, in milliseconds. */
	readonly timeoutMs: number;
};

/** Earlier lease holders, asked over tRPC. */
export class TrpcLeasePeers extends LeasePeers {
	constructor(private readonly options: TrpcLeasePeersOptions) {
		super();
	}

	override async confirmStop(question: StopRequest): Promise<StopResponse> {
		const {vmInstanceId} = question.holder;
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
			return await client.confirmStop.mutate(question);
		} catch (error) {
			throw new ProblemError(
				'peer-unavailable',
				`VM "${vmInstanceId}" did not answer`,
				{cause: toProblem(error)},
			);
		}
	}
}
