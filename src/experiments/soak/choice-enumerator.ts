/** Goes through every sequence of choices of a deterministic run, one sequence for each run. */
export class ChoiceEnumerator {
	private prefix: number[] = [];
	private taken: Array<{readonly choice: number; readonly count: number}> = [];

	/**
	 * Makes the next choice of the current run.
	 * @param count - number of alternatives, at least 1
	 * @returns index of the alternative to take
	 */
	choose(count: number): number {
		const choice = this.prefix[this.taken.length] ?? 0;
		this.taken.push({choice, count});
		return choice;
	}

	/**
	 * Ends the current run.
	 * @returns whether another sequence of choices is left
	 */
	startNextRun(): boolean {
		const {taken} = this;
		this.taken = [];
		for (let index = taken.length - 1; index >= 0; index--) {
			const {choice, count} = taken[index];
			if (choice + 1 < count) {
				this.prefix = [
					...taken.slice(0, index).map((one) => one.choice),
					choice + 1,
				];
				return true;
			}
		}

		return false;
	}
}
