/** A generation that waits for a place. */
export type PlacementRequest = {
	readonly account: string;
	readonly requestClass: string;
	readonly model: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
};
