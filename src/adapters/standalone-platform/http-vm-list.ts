import * as z from 'zod';
import {
	ProblemError,
	toProblem,
	VmList,
	type VmListSnapshot,
} from '../../common/index.js';
import {callJson} from './http-json.js';

const snapshotSchema = z.object({
	sequence: z.number(),
	vms: z.array(
		z.object({
			instanceId: z.string(),
			role: z.enum(['entry', 'engine', 'service']),
			name: z.string(),
			availabilityZone: z.string(),
			region: z.string(),
			address: z.string(),
			state: z.enum(['live', 'leaving']),
		}),
	),
});

export type HttpVmListOptions = {
	readonly url: string;
	/** Time after which a request fails, in milliseconds. */
	readonly timeoutMs: number;
};

/** Client of a VM list that is read by `GET /vms`. */
export class HttpVmList extends VmList {
	constructor(private readonly options: HttpVmListOptions) {
		super();
	}

	override async read(): Promise<VmListSnapshot> {
		try {
			const response = await callJson(`${this.options.url}/vms`, {
				timeoutMs: this.options.timeoutMs,
			});
			return snapshotSchema.parse(JSON.parse(response.text));
		} catch (error) {
			throw new ProblemError(
				'vm-list-unavailable',
				'VM list could not be read',
				{
					cause: toProblem(error),
				},
			);
		}
	}
}
