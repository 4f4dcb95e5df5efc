import type {IncomingMessage} from 'node:http';
import {createByteAccumulator, ProblemError} from '../../common/index.js';
import type {BufferUsage} from '../../decisions/serving/index.js';
import type {RequestReception} from './request-turns.js';

export type RequestBodyOptions = {
	readonly maxBytes: number;
	/** Memory that the request takes. */
	readonly usage: BufferUsage;
	readonly reception: RequestReception;
};

/**
 * Reads a whole request body. What is not read is dropped, and the connection stays open for the response.
 * @returns undefined for an empty body
 * @throws ProblemError `too-large`, or `not-run` if this VM has no memory for it; Error if the caller has
 *   disconnected
 */
export async function readBody(
	request: IncomingMessage,
	{maxBytes, usage, reception}: RequestBodyOptions,
): Promise<Uint8Array | undefined> {
	const body = createByteAccumulator();
	const headUsageBytes = usage.bytes;
	return new Promise((resolve, reject) => {
		const settle = (finish: () => void) => {
			reception.onRefused = undefined;
			request.off('data', handleData);
			request.off('end', handleEnd);
			request.off('close', handleClose);
			finish();
		};

		const fail = (error: Error) => {
			settle(() => {
				request.resume();
				reject(error);
			});
		};

		const handleData = (chunk: Uint8Array) => {
			if (body.lengthBytes + chunk.length > maxBytes) {
				const detail = `the body is larger than ${maxBytes} bytes`;
				fail(new ProblemError('too-large', detail));
				return;
			}

			body.append(chunk);
			const problem = usage.set(headUsageBytes + body.capacityBytes);
			if (problem) {
				fail(new ProblemError('not-run', problem));
			}
		};

		const handleEnd = () => {
			settle(() => {
				resolve(body.lengthBytes === 0 ? undefined : body.take());
			});
		};

		const handleClose = () => {
			fail(new Error('the caller disconnected before the body was complete'));
		};

		reception.onRefused = () => {
			fail(
				new ProblemError(
					'not-run',
					'this VM has no memory for the body of the request',
				),
			);
		};

		request.on('data', handleData);
		request.on('end', handleEnd);
		request.on('close', handleClose);
		// The close that follows an error is handled.
		request.on('error', () => undefined);
	});
}
