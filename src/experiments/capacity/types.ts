/** One measured figure. */
export type Figure = {
	/** What was measured, with the size it was measured at. */
	readonly name: string;
	readonly value: number;
	readonly unit: string;
};
