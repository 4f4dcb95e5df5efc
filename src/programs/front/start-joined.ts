import path from 'node:path';
import process from 'node:process';
import {readCodeCache, readBundledScript} from './bundled-script.js';

// The boot file is read later, so that a change that is signalled now needs no answer.
process.once('SIGHUP', () => {
	// Handled, so that it does not end the process.
});
const directory = path.dirname(process.argv[1]);
readBundledScript(directory, readCodeCache(directory)).run();
