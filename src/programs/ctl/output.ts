import process from 'node:process';

/** One line of a table, by column name. */
export type TableLine = Readonly<Record<string, string | number | boolean>>;

/** Prints results of commands. */
export type Output = {
	/**
	 * Prints a result.
	 * @param value - printed as JSON with `--json`
	 * @param lines - printed as a table otherwise
	 */
	print(value: unknown, lines: readonly TableLine[]): void;
	/** Prints plain text in both forms. */
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
 * Creates an output to standard output.
 * @param json - print JSON in place of tables
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
