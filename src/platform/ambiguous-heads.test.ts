import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import type {ResponseHead, SendFailure} from '../common/index.js';
import {
	fakeCallerRequest,
	fakeSendOptions,
} from '../experiments/fakes/index.js';
import {HttpTargetClient} from './http-target-client.js';
import {createScriptedTarget} from './testing/index.js';

type Result = {
	readonly head: ResponseHead | undefined;
	readonly failure: SendFailure | undefined;
};

async function send(
	client: HttpTargetClient,
	address: string,
	id: string,
): Promise<Result> {
	return new Promise((resolve) => {
		let head: ResponseHead | undefined;
		client.send(
			address,
			fakeCallerRequest({
				id,
				method: 'POST',
				headers: [['Cowslipspread-Attempt-Id', id]],
			}),
			fakeSendOptions(),
			{
				onHead(received) {
					head = received;
				},
				onData() {
					// The head alone is checked.
				},
				onEnd() {
					resolve({head, failure: undefined});
				},
				onFailure(failure) {
					resolve({head, failure});
				},
			},
		);
	});
}

const refusal = (id: string) =>
	[
		'HTTP/1.1 503 Service Unavailable',
		'Cowslipspread-Not-Executed: 1',
		`Cowslipspread-Attempt-Id: ${id}`,
		'Retry-After: 0.5',
		'Content-Length: 0',
		'',
		'',
	].join('\r\n');

const answer = (status: string, id: string) =>
	[
		`HTTP/1.1 ${status}`,
		`Cowslipspread-Attempt-Id: ${id}`,
		'Cowslipspread-Runner-Stamp: s',
		'Content-Length: 2',
		'',
		'ok',
	].join('\r\n');

/** Starts a target that refuses each first request of a connection, and precedes the next answer with bytes. */
async function startTarget(nextBytes: () => string) {
	const target = createScriptedTarget(({id}, socket) => {
		socket.write(id.startsWith('old') ? refusal(id) : nextBytes());
	});
	await new Promise<void>((resolve) => {
		target.server.listen(0, '127.0.0.1', resolve);
	});
	const addressInfo = target.server.address();
	assert.ok(addressInfo !== null && typeof addressInfo === 'object');
	return {target, address: `127.0.0.1:${addressInfo.port}`};
}

suite('part of another response precedes a response', () => {
	for (const [name, copy, status] of [
		['a refusal, the request was run', refusal('old'), '200 OK'],
		['a success, the request failed', answer('200 OK', 'old'), '500 Error'],
		['an error, the request succeeded', answer('500 Error', 'old'), '200 OK'],
	] as const) {
		test(`the outcome of the request is unknown, wherever the part is cut off (review case 6): ${name}`, async (context) => {
			let bytes = '';
			const {target, address} = await startTarget(() => bytes);
			context.after(() => {
				target.server.close();
			});
			const client = new HttpTargetClient();
			for (let length = 1; length < copy.indexOf('\r\n\r\n'); length++) {
				const kept = await send(client, address, 'old');
				assert.equal(kept.head?.notExecuted, true);
				bytes = copy.slice(0, length) + answer(status, 'new');
				const {head, failure} = await send(client, address, 'new');
				const label = JSON.stringify(copy.slice(0, length));
				assert.equal(head, undefined, label);
				assert.equal(failure?.unsent, false, label);
			}
		});
	}

	test('a header that decides is not read if it is repeated, and others may be', async (context) => {
		let bytes = '';
		const {target, address} = await startTarget(() => bytes);
		context.after(() => {
			target.server.close();
		});
		const client = new HttpTargetClient();
		for (const line of [
			'Cowslipspread-Attempt-Id: new',
			'Cowslipspread-Runner-Stamp: other',
			'Cowslipspread-Not-Executed: 1\r\nCowslipspread-Not-Executed: 1',
			'Retry-After: 1\r\nretry-after: 2',
			'Content-Encoding: identity\r\nContent-Encoding: gzip',
			'Server-Leaving: 0\r\nServer-Leaving: 1',
		]) {
			bytes = answer('200 OK', 'new').replace('Content', `${line}\r\nContent`);
			const {head, failure} = await send(client, address, 'new');
			assert.equal(head, undefined, line);
			assert.equal(failure?.defect, 'ambiguous-head', line);
		}

		const repeated =
			'Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nVia: 1.1 a, HTTP/1.1 b';
		bytes = answer('200 OK', 'new').replace(
			'Content',
			`${repeated}\r\nContent`,
		);
		const {head, failure} = await send(client, address, 'new');
		assert.equal(failure, undefined);
		assert.equal(head?.headers.length, 6);
	});

	test('a load report with an ambiguous head is not read', async (context) => {
		const body = '{"queued":0,"running":0,"kv_used":0,"kv_total":1}';
		const target = createScriptedTarget((_request, socket) => {
			socket.write(
				`HTTP/1.1 200 OK\r\nX: HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
			);
		});
		await new Promise<void>((resolve) => {
			target.server.listen(0, '127.0.0.1', resolve);
		});
		context.after(() => {
			target.server.close();
		});
		const addressInfo = target.server.address();
		assert.ok(addressInfo !== null && typeof addressInfo === 'object');
		await assert.rejects(
			new HttpTargetClient().report(`127.0.0.1:${addressInfo.port}`, 500),
			/ambiguous/,
		);
	});
});
