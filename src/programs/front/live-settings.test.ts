import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {createLogger} from '../../adapters/system/index.js';
import {bootFile} from '../../platform/testing/index.js';
import {readBootFile} from './front-settings.js';
import {watchBootFile} from './live-settings.js';

test('guards against a bad boot file replacing the settings in force', (context) => {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'boot-')), 'boot');
	const boot = bootFile();
	writeFileSync(file, JSON.stringify(boot));
	const logger = createLogger('test', 'error');
	logger.silent = true;
	const live = watchBootFile(file, readBootFile(file), logger);
	context.after(() => {
		live.dispose();
	});
	const bounds = {...(boot.bounds as Record<string, number>), grace_s: 5};
	writeFileSync(file, JSON.stringify({...boot, bounds}));
	live.reload();
	assert.equal(live.current.bounds.stopGraceMs, 5000);
	writeFileSync(file, '{');
	live.reload();
	assert.equal(live.current.bounds.stopGraceMs, 5000);
});
