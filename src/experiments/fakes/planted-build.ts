import assert from 'node:assert/strict';
import fs from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

/** Text replacement in one compiled file, which plants a fault. */
export type PlantedEdit = {
	/** Path of the file, relative to the root of the build. */
	readonly file: string;
	/** Text that occurs exactly once in the file. */
	readonly original: string;
	readonly replacement: string;
};

const buildDirectory = fileURLToPath(new URL('../..', import.meta.url));

async function applyEdit(
	directory: string,
	{file, original, replacement}: PlantedEdit,
) {
	const filePath = path.join(directory, file);
	const text = await fs.readFile(filePath, 'utf8');
	assert.equal(
		text.split(original).length,
		2,
		`${file} must contain "${original}" exactly once`,
	);
	await fs.writeFile(
		filePath,
		text.replace(original, () => replacement),
	);
}

/**
 * Copies the build without its tests, applies the edits to the copy, and removes it after use.
 * @param use - called with the path of the copy
 * @returns the result of `use`
 */
export async function withPlantedBuild<T>(
	edits: readonly PlantedEdit[],
	use: (directory: string) => Promise<T>,
): Promise<T> {
	// Inside the repository, so that the copy resolves packages from its node_modules.
	const parent = path.join(buildDirectory, '..', 'out');
	await fs.mkdir(parent, {recursive: true});
	const copy = await fs.mkdtemp(path.join(parent, 'planted-'));
	try {
		await fs.cp(buildDirectory, copy, {
			recursive: true,
			filter: (source) => !source.endsWith('.test.js'),
		});
		for (const edit of edits) {
			await applyEdit(copy, edit);
		}

		return await use(copy);
	} finally {
		await fs.rm(copy, {recursive: true});
	}
}
