import type {ResponseHead} from '../../common/index.js';
import type {CallerResponse} from '../../decisions/serving/index.js';

/** A caller that records what it gets. */
export type FakeCallerResponse = CallerResponse & {
	readonly status: number | undefined;
	readonly text: string;
	/** How the answer ended: whole, by this system itself, or broken off. */
	readonly ending: 'whole' | 'own' | 'aborted' | undefined;
	readonly retryAfterS: number | undefined;
};

/** Creates a caller that waits. */
export function createFakeCallerResponse(): FakeCallerResponse {
	const decoder = new TextDecoder();
	let status: number | undefined;
	let text = '';
	let ending: FakeCallerResponse['ending'];
	let retryAfterS: number | undefined;
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
		startStream,
		write(bytes) {
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
		sendLocalResponse(ownStatus, _message, headers = []) {
			status = ownStatus;
			ending = 'own';
			const header = headers.find(([name]) => name === 'Retry-After');
			retryAfterS = header ? Number(header[1]) : undefined;
		},
		abort() {
			ending = 'aborted';
		},
	};
}
