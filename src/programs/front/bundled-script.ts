import type {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import {Script} from 'node:vm';

/** Files of the joined daemon in the folder of the build. */
export const bundleFiles = {
	/** The daemon and its libraries. */
	code: 'front-code.cjs',
	/** What the engine has compiled of it before. */
	cache: 'front-code.cache',
} as const;

/** A script that can be run as a CommonJS module. */
export type ModuleScript = {
	readonly script: Script;
	run(): void;
};

type ModuleFunction = (
	load: NodeJS.Require,
	filename: string,
	directory: string,
) => void;

const hashbang = /^#!.*/;

/**
 * Reads the joined daemon.
 * @param directory - folder of the build
 * @param cache - compiled code; one of another version is ignored by the engine
 */
export function readBundledScript(
	directory: string,
	cache?: Buffer,
): ModuleScript {
	const filename = path.resolve(directory, bundleFiles.code);
	const code = readFileSync(filename, 'utf8').replace(hashbang, '');
	const wrapped = `(function (require, __filename, __dirname) {${code}\n})`;
	const script = new Script(wrapped, {filename, cachedData: cache});
	return {
		script,
		run() {
			const run = script.runInThisContext() as ModuleFunction;
			run(createRequire(filename), filename, path.dirname(filename));
		},
	};
}

/** Reads the compiled code, if the build has left any. */
export function readCodeCache(directory: string): Buffer | undefined {
	try {
		return readFileSync(path.resolve(directory, bundleFiles.cache));
	} catch {
		// Without it the daemon only starts more slowly.
		return undefined;
	}
}
