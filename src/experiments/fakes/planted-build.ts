import assert from 'node:assert/strict';
import fs from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

/** A change of one compiled file. */
export type PlantedEdit = {
	/** File relative to the build. */
	readonly file: string;
	/** Text that the file holds exactly once. */
	readonly original: string;
	readonly replacement: string;
};

const built = fileURLToPath(new URL('../..', import.meta.url));

async function applyEdit(
	directory: string,
	{file, original, replacement}: PlantedEdit,
) {
	const name = path.join(directory, file);
	const text = await fs.readFile(name, 'utf8');
	assert.equal(
		text.split(original).length,
		2,
		`${file} holds "${original}" once`,
	);
	await fs.writeFile(
		name,
		text.replace(original, () => replacement),
	);
}

/**
 * Copies the build, plants faults in the copy, and removes it after use.
 * @param use - gets the folder of the copy
 */
export async function withPlantedBuild<T>(
	edits: readonly PlantedEdit[],
	use: (directory: string) => Promise<T>,
): Promise<T> {
	// Under the repository, so that the copy finds its libraries.
	const parent = path.join(built, '..', 'out');
	await fs.mkdir(parent, {recursive: true});
	const copy = await fs.mkdtemp(path.join(parent, 'planted-'));
	try {
		await fs.cp(built, copy, {
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
