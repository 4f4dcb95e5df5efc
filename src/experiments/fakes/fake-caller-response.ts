import {createEmitter, type ResponseHead} from '../../common/index.js';
import type {CallerResponse} from '../../decisions/serving/index.js';

/** Records the response that a session sends to its caller. */
export type FakeCallerResponse = CallerResponse & {
	readonly status: number | undefined;
	/** Body of the target's response; the message of a local response is not recorded. */
	readonly text: string;
	/**
	 * `whole`: the target's complete response was forwarded; `own`: the VM sent a local response;
	 * `aborted`: the connection was closed before the end; undefined: not ended.
	 */
	readonly ending: 'whole' | 'own' | 'aborted' | undefined;
	/** Value of the `Retry-After` header, in seconds. */
	readonly retryAfterS: number | undefined;
	/** Number of writes. */
	readonly writeCount: number;
	/** Makes the caller stop reading, or read again. */
	setCongested(isCongested: boolean): void;
};

export function createFakeCallerResponse(): FakeCallerResponse {
	const decoder = new TextDecoder();
	let status: number | undefined;
	let text = '';
	let ending: FakeCallerResponse['ending'];
	let retryAfterS: number | undefined;
	let writeCount = 0;
	let isCongested = false;
	const drained = createEmitter<void>();
	const startStream = (head: ResponseHead) => {
		status = head.status;
	};

	return {
		get status() {
			return status;
		},
		get text() {
			return text;
		},
		get ending() {
			return ending;
		},
		get retryAfterS() {
			return retryAfterS;
		},
		get isHeadSent() {
			return status !== undefined;
		},
		get writeCount() {
			return writeCount;
		},
		get isCongested() {
			return isCongested;
		},
		onDrained: drained.event,
		setCongested(isCongestedNow) {
			isCongested = isCongestedNow;
			if (!isCongested) {
				drained.fire();
			}
		},
		startStream,
		write(bytes) {
			writeCount++;
			text += decoder.decode(bytes);
		},
		end() {
			ending = 'whole';
		},
		sendResponse(head, body) {
			startStream(head);
			text = decoder.decode(body);
			ending = 'whole';
		},
		sendLocalResponse(localStatus, _message, headers = []) {
			status = localStatus;
			ending = 'own';
			const header = headers.find(([name]) => name === 'Retry-After');
			retryAfterS = header ? Number(header[1]) : undefined;
		},
		abort() {
			ending = 'aborted';
		},
	};
}
