import {
	PlainService,
	ProblemError,
	type ServiceResponse,
	type ServiceCall,
	type TargetDescription,
} from '../../common/index.js';
import type {VirtualTime} from './virtual-time.js';

/** How a fake plain service treats one call. */
export type CallFault = {
	/**
	 * `answer-lost` fails after the effect; `refused` fails without an effect; `slow` answers after
	 * a delay; `hanging` takes effect and never answers; `late-effect` fails before the effect.
	 */
	readonly kind: 'answer-lost' | 'refused' | 'slow' | 'hanging' | 'late-effect';
	readonly delayMs?: number;
};

/** Options of a fake plain service. */
export type FakePlainServiceOptions = {
	readonly id: string;
	readonly service: string;
	/** Time of a call there and back, in milliseconds. */
	readonly latencyMs: number;
	/** Whether it can be asked if a call took effect. */
	readonly answersOutcomes: boolean;
	/** Size of the answer's padding, in bytes. */
	readonly paddingBytes?: number;
	/** Called at each effect with the call that caused it. */
	readonly onEffect?: (call: ServiceCall) => void;
};

/** Plain service that takes effect again on every call and counts the effects of each key. */
export class FakePlainService extends PlainService {
	override readonly description: TargetDescription;
	/** Effects by idempotency key. */
	readonly effects = new Map<string, number>();
	/** While true, questions about outcomes fail. */
	outcomesDown = false;
	private readonly answers = new Map<string, ServiceResponse>();
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

	/** Plans how the next call without a plan is treated. */
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

		const answer = this.takeEffect(call);
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

		return answer;
	}

	override async outcome(
		idempotencyKey: string,
	): Promise<ServiceResponse | undefined> {
		await this.time.sleep(this.options.latencyMs);
		if (this.outcomesDown || !this.options.answersOutcomes) {
			throw new ProblemError('target-unavailable', 'outcomes are unavailable');
		}

		return this.answers.get(idempotencyKey);
	}

	private takeEffect(call: ServiceCall): ServiceResponse {
		const key = call.idempotencyKey ?? '';
		this.effects.set(key, (this.effects.get(key) ?? 0) + 1);
		this.options.onEffect?.(call);
		const answer: ServiceResponse = {
			status: 201,
			contentType: 'application/json',
			body: JSON.stringify({
				booking: ++this.bookingCount,
				key,
				request: call.body,
				padding: 'x'.repeat(this.options.paddingBytes ?? 0),
			}),
		};
		this.answers.set(key, answer);
		return answer;
	}
}
