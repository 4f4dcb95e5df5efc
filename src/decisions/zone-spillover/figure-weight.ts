const fullWeightMs = 3000;
const halfWeightMs = 6000;

/**
 * Weight of a figure that another VM has reported.
 * @param ageMs - time since it was reported, in milliseconds
 * @returns 1, 0.5 or 0
 */
export function figureWeight(ageMs: number): number {
	if (ageMs > halfWeightMs) {
		return 0;
	}

	return ageMs > fullWeightMs ? 0.5 : 1;
}
