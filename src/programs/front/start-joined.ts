import path from 'node:path';
import process from 'node:process';
import {readCodeCache, readBundledScript} from './bundled-script.js';

// A reload signal that arrives before the daemon is loaded needs no action, since the boot file is read
// later; unhandled, it would end the process.
process.once('SIGHUP', () => {
	// Nothing to do.
});
const directory = path.dirname(process.argv[1]);
readBundledScript(directory, readCodeCache(directory)).run();
