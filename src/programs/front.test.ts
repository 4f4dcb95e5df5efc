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
	// A daemon that cannot listen on its port must not keep running without its server.
	test(`exits with a failure code when its port is already in use (${path.basename(program)})`, async (context) => {
		const [front, ready, peer, store] = await findFreePorts(4);
		const portHolder = createServer().listen(front, '127.0.0.1');
		context.after(() => {
			portHolder.close();
		});
		const bootPath = path.join(
			mkdtempSync(path.join(tmpdir(), 'front-')),
			'boot',
		);
		writeFileSync(
			bootPath,
			JSON.stringify(bootFile({front, ready, peer, store})),
		);
		const daemon = spawn(
			process.execPath,
			[program, '--boot-file', bootPath, '--metrics-port', '0'],
			{stdio: 'ignore'},
		);
		context.after(() => {
			daemon.kill('SIGKILL');
		});
		const [code] = (await once(daemon, 'exit')) as [number | null];
		assert.equal(code, exitCodes.failure);
	});

	// SIGHUP announces a change of the boot file. It must not terminate a daemon that is still starting,
	// and the change must not be lost.
	test(`survives a SIGHUP during startup and reads the boot file again (${path.basename(program)})`, async (context) => {
		const [front, ready, peer, store] = await findFreePorts(4);
		const text = JSON.stringify(bootFile({front, ready, peer, store}));
		const directory = mkdtempSync(path.join(tmpdir(), 'front-'));
		const bootPath = path.join(directory, 'boot');
		// The boot file is a named pipe: the daemon blocks in reading it until the test writes to it.
		execFileSync('mkfifo', [bootPath]);
		const daemon = spawn(
			process.execPath,
			[program, '--boot-file', bootPath, '--metrics-port', '0'],
			{stdio: ['ignore', 'pipe', 'inherit']},
		);
		const exited = once(daemon, 'exit');
		context.after(async () => {
			daemon.kill('SIGKILL');
			await exited;
		});
		const pipe = await open(bootPath, 'w');
		daemon.kill('SIGHUP');
		writeFileSync(path.join(directory, 'next'), text);
		renameSync(path.join(directory, 'next'), bootPath);
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
