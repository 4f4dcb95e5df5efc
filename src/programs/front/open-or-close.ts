/** Opens something; if that fails, what was opened before is closed. */
export async function openOrClose<T>(
	close: () => Promise<void>,
	open: () => Promise<T>,
): Promise<T> {
	try {
		return await open();
	} catch (error) {
		await close();
		throw error;
	}
}
