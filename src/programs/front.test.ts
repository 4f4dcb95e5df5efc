import assert from 'node:assert/strict';
import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, renameSync, writeFileSync} from 'node:fs';
import {open} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {findFreePorts} from '../experiments/fakes/index.js';
import {bootFile} from '../platform/testing/index.js';
import {exitCodes} from './exit-codes.js';

const programs = ['front.js', '../front.cjs'].map((file) =>
	fileURLToPath(new URL(file, import.meta.url)),
);

for (const program of programs) {
	test(`guards against a daemon that stays half alive when its port is taken (${path.basename(program)})`, async (context) => {
		const [front, ready, peer, store] = await findFreePorts(4);
		const blocker = createServer().listen(front, '127.0.0.1');
		context.after(() => {
			blocker.close();
		});
		const file = path.join(mkdtempSync(path.join(tmpdir(), 'front-')), 'boot');
		writeFileSync(file, JSON.stringify(bootFile({front, ready, peer, store})));
		const daemon = spawn(
			process.execPath,
			[program, '--boot-file', file, '--metrics-port', '0'],
			{stdio: 'ignore'},
		);
		context.after(() => {
			daemon.kill('SIGKILL');
		});
		const [code] = (await once(daemon, 'exit')) as [number | null];
		assert.equal(code, exitCodes.failure);
	});

	test(`guards against a change of the boot file that ends a daemon which is starting (${path.basename(program)})`, async (context) => {
		const [front, ready, peer, store] = await findFreePorts(4);
		const text = JSON.stringify(bootFile({front, ready, peer, store}));
		const directory = mkdtempSync(path.join(tmpdir(), 'front-'));
		const file = path.join(directory, 'boot');
		// The daemon cannot go on before the pipe is written to.
		execFileSync('mkfifo', [file]);
		const daemon = spawn(
			process.execPath,
			[program, '--boot-file', file, '--metrics-port', '0'],
			{stdio: ['ignore', 'pipe', 'inherit']},
		);
		const exited = once(daemon, 'exit');
		context.after(async () => {
			daemon.kill('SIGKILL');
			await exited;
		});
		const pipe = await open(file, 'w');
		daemon.kill('SIGHUP');
		writeFileSync(path.join(directory, 'next'), text);
		renameSync(path.join(directory, 'next'), file);
		await pipe.writeFile(text);
		await pipe.close();
		const messages = new Set<unknown>();
		for await (const line of createInterface({input: daemon.stdout})) {
			const {message} = JSON.parse(line) as {message?: unknown};
			messages.add(message);
			if (messages.has('started') && messages.has('settings read again')) {
				break;
			}
		}

		assert.deepEqual(
			[messages.has('started'), messages.has('settings read again')],
			[true, true],
		);
	});
}
