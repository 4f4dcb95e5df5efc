/** One measured figure. */
export type Figure = {
	/** Measured quantity and the size of the system at which it was measured. */
	readonly name: string;
	readonly value: number;
	readonly unit: string;
};
