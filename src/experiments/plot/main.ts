import {readFile, writeFile} from 'node:fs/promises';
import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import {createCommandLine, runProgram} from '../../programs/command-line.js';

/** Figures of one policy, as the bench prints them. */
type PolicyFigures = Readonly<Record<string, number>>;

/** Last line of the bench. */
type BenchReport = {
	readonly deployment: string;
	readonly seed: number;
	readonly loads: ReadonlyArray<{
		readonly load: number;
		readonly policies: Readonly<Record<string, PolicyFigures>>;
	}>;
};

const figures = ['stallMs', 'preemptions', 'interTokenP99Ms', 'weightedCost'];
const panelWidthPx = 160;

function specOf(report: BenchReport): TopLevelSpec {
	const values = report.loads.flatMap(({load, policies}) =>
		Object.entries(policies).flatMap(([policy, row]) =>
			figures.map((figure) => ({load, policy, figure, value: row[figure]})),
		),
	);
	return {
		title: `${report.deployment}, seed ${report.seed}`,
		data: {values},
		mark: 'bar',
		width: panelWidthPx,
		encoding: {
			column: {field: 'figure', type: 'nominal', sort: figures, title: ''},
			row: {field: 'load', type: 'nominal', title: 'offered load'},
			x: {field: 'policy', type: 'nominal', title: ''},
			y: {field: 'value', type: 'quantitative', title: ''},
			color: {field: 'policy', type: 'nominal', legend: null},
		},
		resolve: {scale: {y: 'independent'}},
	};
}

await runProgram(async () => {
	const flags = await createCommandLine('plot')
		.usage('$0: draws the last line of a bench run as an SVG picture')
		.options({
			input: {
				type: 'string',
				demandOption: true,
				describe: 'file that holds the output of the bench',
			},
			output: {
				type: 'string',
				demandOption: true,
				describe: 'SVG file to write',
			},
		})
		.parseAsync();
	const text = await readFile(flags.input, 'utf8');
	const report = JSON.parse(text.trimEnd().split('\n').at(-1)!) as BenchReport;
	const view = new View(parse(compile(specOf(report)).spec), {
		renderer: 'none',
	});
	await writeFile(flags.output, await view.toSVG());
});
