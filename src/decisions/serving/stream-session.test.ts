import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TargetEntry} from '../../common/index.js';
import {
	createFakeCallerReply,
	fakeAdmitted,
	fakeEntry,
	fakeHead,
	type FakeSend,
	fakeSessionServices,
	FakeTargetLink,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {startStreamSession} from './stream-session.js';

const firstEngine = fakeEntry('e1');
const secondEngine = fakeEntry('e2');
const thirdEngine = fakeEntry('e3');

type Setup = {
	readonly backup?: TargetEntry;
	readonly promptTokens?: number;
	readonly memoryPart?: () => number;
	readonly hearsOfLeaving?: boolean;
};

function start(setup: Setup = {}) {
	const time = new VirtualTime();
	const link = new FakeTargetLink();
	const reply = createFakeCallerReply();
	const log: Array<{event: string; record: Readonly<Record<string, unknown>>}> =
		[];
	const left = new Set<string>();
	const down = new Set<string>();
	const {memoryPart = () => 0.5, promptTokens = 3000} = setup;
	const session = startStreamSession(
		fakeAdmitted(
			{kind: 'stream', timeoutMs: 39_000, objectiveMs: 1800, maxAttempts: 1},
			{
				generation: {
					model: 'm',
					promptTokens,
					maxOutputTokens: 900,
					promptParts: [],
					lengthHintTokens: undefined,
				},
			},
		),
		reply,
		{
			...fakeSessionServices(time, link, (event, record) => {
				log.push({event, record});
			}),
			place(_admitted, avoid) {
				const target = [firstEngine, secondEngine, thirdEngine].find(
					({id}) => !avoid.has(id),
				);
				return (
					target && {
						target,
						backup: setup.backup,
						firstTokenMs: 200,
						memoryPart: memoryPart(),
						capacityTokens: 34_000,
					}
				);
			},
			placeMove: (_admitted, _from, avoid) =>
				[thirdEngine, secondEngine].find(
					({id}) => !avoid.has(id) && !left.has(id),
				),
			placeBackup: () => undefined,
			isPresent: (id) => !left.has(id),
			isUsable: (id) => !left.has(id) && !down.has(id),
			hearsOfLeaving: () => setup.hearsOfLeaving ?? true,
			opened: () => ({
				progressed() {
					// Load is not counted here.
				},
				dispose() {
					// Load is not counted here.
				},
			}),
			finished() {
				// Lengths are not kept here.
			},
		},
	);
	const leave = (...ids: string[]) => {
		for (const id of ids) {
			left.add(id);
			session.engineLeaving(id);
		}
	};

	const refuse = (id: string) => {
		down.add(id);
		session.engineLeaving(id);
	};

	return {time, link, reply, log, session, leave, refuse};
}

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const give = ({sink}: FakeSend, ...ids: number[]) => {
	sink.onHead(fakeHead('q1'));
	for (const id of ids) {
		sink.onData(new TextEncoder().encode(event(id)));
	}
};

const text = (...ids: number[]) => ids.map((id) => event(id)).join('');

test('guards against a gap or a repeat when a run goes on from its backup', () => {
	const {link, reply} = start({backup: secondEngine});
	give(link.sends[0], 1, 2, 3);
	link.sends[0].sink.onFailure({unsent: false, reason: 'reset'});
	const [, second] = link.sends;
	assert.equal(second.address, secondEngine.address);
	assert.deepEqual(second.orders.continueFrom, {
		address: secondEngine.address,
		handle: 'q1',
	});
	assert.equal(second.orders.lastEventId, '3');
	give(second, 3, 4);
	second.sink.onEnd();
	assert.deepEqual([reply.ending, reply.text], ['whole', text(1, 2, 3, 4)]);
});

test('guards against a second run of a stream whose engine was lost without a copy', () => {
	const {link, reply} = start();
	link.sends[0].sink.onFailure({unsent: false, reason: 'reset'});
	assert.equal(link.sends.length, 1);
	assert.deepEqual([reply.status, reply.retryAfterS], [502, undefined]);
});

test('guards against a broken stream that looks whole', () => {
	const {link, reply} = start();
	give(link.sends[0], 1, 2);
	link.sends[0].sink.onFailure({unsent: false, reason: 'reset'});
	assert.equal(reply.ending, 'aborted');
	const inside = start();
	give(inside.link.sends[0], 1);
	inside.link.sends[0].sink.onData(new TextEncoder().encode('id: 2\nda'));
	inside.link.sends[0].sink.onEnd();
	assert.equal(inside.reply.ending, 'aborted');
});

test('guards against events of two runs in one answer', () => {
	const {link, reply} = start();
	give(link.sends[0], 1, 2, 5);
	assert.deepEqual([reply.ending, reply.text], ['aborted', text(1, 2)]);
});

test('guards against giving up a stream that no engine has begun', () => {
	const {link, reply} = start();
	link.sends[0].sink.onFailure({unsent: true, reason: 'refused'});
	link.sends[1].sink.onHead(fakeHead('q1', {status: 503, notExecuted: true}));
	link.sends[1].sink.onEnd();
	assert.equal(link.sends.length, 3);
	link.sends[2].sink.onHead(fakeHead('q1', {status: 503, notExecuted: true}));
	link.sends[2].sink.onEnd();
	assert.equal(reply.status, 503);
	assert.ok(reply.retryAfterS);
});

test('replay "engine leaves at two seconds\' notice": the run goes on from the copy made ahead', async () => {
	const {time, link, reply, leave} = start();
	link.copyResult = () => ({
		outcome: 'copied',
		memory: {address: firstEngine.address, handle: 'h1'},
	});
	give(link.sends[0], 1);
	leave('e1');
	await time.runUntil(700);
	assert.equal(link.sends[0].isDisposed, false);
	assert.deepEqual(
		link.copies.map(({toAddress}) => toAddress),
		[thirdEngine.address, thirdEngine.address],
	);
	link.sends[0].sink.onFailure({unsent: false, reason: 'gone'});
	assert.equal(link.sends[1].address, thirdEngine.address);
	assert.equal(link.sends[1].orders.continueFrom?.handle, 'h1');
	give(link.sends[1], 2);
	link.sends[1].sink.onEnd();
	assert.equal(reply.text, text(1, 2));
});

test('replay "engine and backup leave at once": the run is copied to a third engine', async () => {
	const {time, link, leave} = start({backup: secondEngine});
	link.copyResult = () => ({
		outcome: 'copied',
		memory: {address: firstEngine.address, handle: 'h1'},
	});
	give(link.sends[0], 1);
	leave('e1');
	await time.runUntil(10);
	assert.equal(link.copies.length, 0);
	leave('e2');
	await time.runUntil(20);
	assert.equal(link.copies[0]?.toAddress, thirdEngine.address);
});

test('replay "the engine of a backup is lost while the store is away" (altiplano, inc-acd6): another copy is made', async () => {
	const calm = start({backup: secondEngine});
	give(calm.link.sends[0], 1);
	calm.leave('e2');
	await calm.time.runUntil(1000);
	assert.equal(calm.link.copies.length, 0);

	const {time, link, reply, leave} = start({
		backup: secondEngine,
		hearsOfLeaving: false,
	});
	link.copyResult = () => ({
		outcome: 'copied',
		memory: {address: firstEngine.address, handle: 'h1'},
	});
	give(link.sends[0], 1);
	leave('e2');
	await time.runUntil(2000);
	assert.deepEqual(
		link.copies.map(({toAddress}) => toAddress),
		[thirdEngine.address],
	);
	link.sends[0].sink.onFailure({unsent: false, reason: 'crashed'});
	assert.equal(link.sends[1].address, thirdEngine.address);
	give(link.sends[1], 2);
	link.sends[1].sink.onEnd();
	assert.equal(reply.text, text(1, 2));
});

test('guards against copies of a sound run whose full engine refuses another connection', async () => {
	const {time, link, refuse} = start({hearsOfLeaving: false});
	give(link.sends[0], 1);
	refuse('e1');
	await time.runUntil(1000);
	assert.equal(link.copies.length, 0);
});

test('guards against giving up a run because one of two copies is lost', async () => {
	const {time, link, reply, leave} = start({
		backup: secondEngine,
		hearsOfLeaving: false,
	});
	link.copyResult = () => ({
		outcome: 'copied',
		memory: {address: firstEngine.address, handle: 'h1'},
	});
	give(link.sends[0], 1);
	leave('e2');
	await time.runUntil(10);
	link.sends[0].sink.onFailure({unsent: false, reason: 'crashed'});
	link.sends[1].sink.onHead(fakeHead('q1', {status: 503, notExecuted: true}));
	link.sends[1].sink.onEnd();
	assert.equal(link.sends[2].address, secondEngine.address);
	link.sends[2].sink.onFailure({unsent: true, reason: 'refused'});
	assert.equal(reply.ending, 'aborted');
});

test('guards against giving up a copy because one engine has no room or the run has not begun', async () => {
	const {time, link, leave} = start();
	let calls = 0;
	link.copyResult = (toAddress) => {
		calls++;
		if (calls === 1) {
			return {outcome: 'unknown-run'};
		}

		return toAddress === thirdEngine.address
			? {outcome: 'refused'}
			: {
					outcome: 'copied',
					memory: {address: firstEngine.address, handle: 'h2'},
				};
	};

	leave('e1');
	await time.runUntil(400);
	assert.deepEqual(
		link.copies.map(({toAddress}) => toAddress),
		[thirdEngine.address, thirdEngine.address, secondEngine.address],
	);
});

test('guards against a copy that holds memory after its run has ended', async () => {
	const {time, link, leave} = start();
	link.copyResult = () => ({
		outcome: 'copied',
		memory: {address: firstEngine.address, handle: 'h1'},
	});
	give(link.sends[0], 1);
	leave('e1');
	await time.runUntil(10);
	link.sends[0].sink.onEnd();
	assert.deepEqual(link.released, ['h1']);
});

test('guards against waiting for an engine that has gone silent', async () => {
	const {time, link, session} = start({backup: secondEngine});
	give(link.sends[0], 1);
	await time.runUntil(800);
	session.tick();
	assert.equal(link.sends.length, 1);
	await time.runUntil(1000);
	session.tick();
	assert.equal(link.sends[0].isDisposed, true);
	assert.equal(link.sends[1].address, secondEngine.address);
});

test('guards against work for a caller that has left', () => {
	const {link, session} = start();
	session.callerLeft();
	assert.equal(link.sends[0].isDisposed, true);
	assert.equal(session.isDone, true);
});

test('replay "all engines full for a second": the generation waits and is then placed', async () => {
	let part = 1.3;
	const {time, link} = start({memoryPart: () => part});
	await time.runUntil(500);
	assert.equal(link.sends.length, 0);
	part = 0.9;
	await time.runUntil(600);
	assert.equal(link.sends.length, 1);
});

test('guards against holding a prompt that no engine can hold', () => {
	const {link, reply} = start({promptTokens: 50_000});
	assert.equal(link.sends.length, 0);
	assert.equal(reply.status, 503);
});

test('guards against a last log line without what explains the outcome', () => {
	const {link, log} = start();
	give(link.sends[0], 1, 2);
	link.sends[0].sink.onFailure({unsent: false, reason: 'reset'});
	const sent = log.find(({event}) => event === 'stream sent')?.record;
	const failed = log.find(({event}) => event === 'stream attempt failed');
	const ended = log.at(-1)?.record;
	assert.deepEqual(
		[sent?.request, sent?.target, sent?.reason, sent?.expectedMemoryPart],
		['q1', 'e1', 'first send', 0.5],
	);
	assert.deepEqual(
		[failed?.record.target, failed?.record.reason, failed?.record.events],
		['e1', 'reset', 2],
	);
	assert.deepEqual(
		[ended?.request, ended?.outcome, ended?.events, ended?.moves],
		['q1', 'the run was lost', 2, 0],
	);
});
