/**
 * Enumerates every sequence of choices of a deterministic run in depth-first order, one sequence for
 * each run. The run has to make the same choices in the same order whenever the earlier ones are equal.
 */
export class ChoiceEnumerator {
	private prefix: number[] = [];
	private choices: Array<{readonly choice: number; readonly count: number}> =
		[];

	/**
	 * Makes the next choice of the current run.
	 * @param count - number of alternatives, at least 1
	 * @returns index of the alternative to take
	 */
	choose(count: number): number {
		const choice = this.prefix[this.choices.length] ?? 0;
		this.choices.push({choice, count});
		return choice;
	}

	/**
	 * Ends the current run and prepares the next one.
	 * @returns false if all sequences of choices have been run
	 */
	startNextRun(): boolean {
		const {choices} = this;
		this.choices = [];
		for (let index = choices.length - 1; index >= 0; index--) {
			const {choice, count} = choices[index];
			if (choice + 1 < count) {
				this.prefix = [
					...choices.slice(0, index).map((earlier) => earlier.choice),
					choice + 1,
				];
				return true;
			}
		}

		return false;
	}
}
