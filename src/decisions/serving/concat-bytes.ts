/** Joins chunks of bytes. */
export function concatBytes(chunks: readonly Uint8Array[]): Uint8Array {
	const size = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
	const all = new Uint8Array(size);
	let at = 0;
	for (const chunk of chunks) {
		all.set(chunk, at);
		at += chunk.length;
	}

	return all;
}
