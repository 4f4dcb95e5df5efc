import process from 'node:process';

/** A row of a printed table: cells by column name. */
export type TableLine = Readonly<Record<string, string | number | boolean>>;

/** Prints the results of commands, as JSON or as a table. */
export type Output = {
	/**
	 * Prints a result in the chosen format.
	 * @param value - printed if the format is JSON
	 * @param lines - rows of the table that is printed otherwise
	 */
	print(value: unknown, lines: readonly TableLine[]): void;
	/** Prints plain text, whatever the format. */
	text(text: string): void;
};

function formatTable(lines: readonly TableLine[]): string {
	if (lines.length === 0) {
		return '(none)\n';
	}

	const columns = [...new Set(lines.flatMap((line) => Object.keys(line)))];
	const cells = [
		columns,
		...lines.map((line) => columns.map((column) => String(line[column] ?? ''))),
	];
	const widths = columns.map((_, index) =>
		Math.max(...cells.map((row) => row[index].length)),
	);
	return cells
		.map(
			(row) =>
				row
					.map((cell, index) => cell.padEnd(widths[index]))
					.join('  ')
					.trimEnd() + '\n',
		)
		.join('');
}

/**
 * Creates an output that writes to standard output.
 * @param json - true to print JSON, false to print tables
 */
export function createOutput(json: boolean): Output {
	return {
		print(value, lines) {
			process.stdout.write(
				json ? `${JSON.stringify(value)}\n` : formatTable(lines),
			);
		},
		text(text) {
			process.stdout.write(text);
		},
	};
}
