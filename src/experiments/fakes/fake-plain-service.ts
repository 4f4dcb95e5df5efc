import {
	PlainService,
	ProblemError,
	type ServiceResponse,
	type ServiceCall,
	type TargetDescription,
} from '../../common/index.js';
import type {VirtualTime} from './virtual-time.js';

/** Fault that hits one call of a fake plain service. */
export type CallFault = {
	/**
	 * `answer-lost`: the call takes effect, and its response is lost; `refused`: the call fails without
	 * an effect; `slow`: the response takes `delayMs`; `hanging`: the call takes effect and never gets a
	 * response; `late-effect`: the call fails at once and takes effect after `delayMs`.
	 */
	readonly kind: 'answer-lost' | 'refused' | 'slow' | 'hanging' | 'late-effect';
	/** Delay of `slow` and `late-effect`, in milliseconds; 0 by default. */
	readonly delayMs?: number;
};

export type FakePlainServiceOptions = {
	readonly id: string;
	readonly service: string;
	/** Round-trip time of a call, in milliseconds. */
	readonly latencyMs: number;
	/** Whether `outcome` reports the response of an earlier call. */
	readonly answersOutcomes: boolean;
	/** Padding added to each response body, in bytes; 0 by default. */
	readonly paddingBytes?: number;
	/** Called whenever a call takes effect. */
	readonly onEffect?: (call: ServiceCall) => void;
};

/**
 * Plain service without deduplication: every call takes effect, also one with a key that was used
 * before. It counts the effects of each key, so that tests can detect a repeated effect.
 */
export class FakePlainService extends PlainService {
	override readonly description: TargetDescription;
	/** Number of effects by idempotency key; calls without a key count under the empty string. */
	readonly effects = new Map<string, number>();
	/** While true, `outcome` fails. */
	outcomesDown = false;
	private readonly responses = new Map<string, ServiceResponse>();
	private readonly faults: CallFault[] = [];
	private bookingCount = 0;

	constructor(
		private readonly time: VirtualTime,
		private readonly options: FakePlainServiceOptions,
	) {
		super();
		this.description = {
			id: options.id,
			kind: 'service',
			url: `http://${options.id}`,
			availabilityZone: 'zone-1',
			models: [],
			service: options.service,
			fencing: 'ignores',
			answersOutcomes: options.answersOutcomes,
		};
	}

	/** Plans a fault; each call takes the oldest one that is left. */
	planFault(fault: CallFault): void {
		this.faults.push(fault);
	}

	override async call(call: ServiceCall): Promise<ServiceResponse> {
		const fault = this.faults.shift();
		const oneWayMs = this.options.latencyMs / 2;
		await this.time.sleep(oneWayMs);
		if (fault?.kind === 'refused') {
			throw new ProblemError('target-unavailable', 'connection refused');
		}

		if (fault?.kind === 'late-effect') {
			this.time.after(fault.delayMs ?? 0, () => {
				this.takeEffect(call);
			});
			throw new ProblemError('outcome-unknown', 'the connection was reset');
		}

		const response = this.takeEffect(call);
		if (fault?.kind === 'hanging') {
			await this.time.sleep(call.timeoutMs);
			throw new ProblemError('outcome-unknown', 'the call timed out');
		}

		const waitMs = fault?.kind === 'slow' ? (fault.delayMs ?? 0) : oneWayMs;
		if (waitMs > call.timeoutMs) {
			await this.time.sleep(call.timeoutMs);
			throw new ProblemError('outcome-unknown', 'the call timed out');
		}

		await this.time.sleep(waitMs);
		if (fault?.kind === 'answer-lost') {
			throw new ProblemError('outcome-unknown', 'the connection was reset');
		}

		return response;
	}

	override async outcome(
		idempotencyKey: string,
	): Promise<ServiceResponse | undefined> {
		await this.time.sleep(this.options.latencyMs);
		if (this.outcomesDown || !this.options.answersOutcomes) {
			throw new ProblemError('target-unavailable', 'outcomes are unavailable');
		}

		return this.responses.get(idempotencyKey);
	}

	private takeEffect(call: ServiceCall): ServiceResponse {
		const key = call.idempotencyKey ?? '';
		this.effects.set(key, (this.effects.get(key) ?? 0) + 1);
		this.options.onEffect?.(call);
		const response: ServiceResponse = {
			status: 201,
			contentType: 'application/json',
			body: JSON.stringify({
				booking: ++this.bookingCount,
				key,
				request: call.body,
				padding: 'x'.repeat(this.options.paddingBytes ?? 0),
			}),
		};
		this.responses.set(key, response);
		return response;
	}
}
