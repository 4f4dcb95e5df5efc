import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {createCommandLine, runProgram} from '../../programs/command-line.js';
import {ProblemError} from '../../common/index.js';
import {compareScore} from './compare-score.js';
import {regressionSites} from './regression-sites.js';
import {readScoreText} from './score-text.js';

const maxOutputBytes = 16_777_216;
const names = regressionSites.map(({name}) => name);

await runProgram(async () => {
	const flags = await createCommandLine('regression')
		.usage(
			'$0: plays the sites of the users and compares with what was measured',
		)
		.options({
			bench: {
				type: 'string',
				demandOption: true,
				describe: "the users' bench program",
			},
			sites: {
				type: 'string',
				demandOption: true,
				describe: 'folder that holds the folders of the site files',
			},
			site: {
				type: 'string',
				array: true,
				choices: names,
				default: names,
				describe: 'sites to play',
			},
			jobs: {type: 'number', default: 3, describe: 'cores to use'},
			why: {
				type: 'string',
				default: 'regression run',
				describe: 'line for the journal',
			},
		})
		.parseAsync();
	const comparisons = [];
	for (const site of regressionSites) {
		if (!flags.site.includes(site.name)) {
			continue;
		}

		process.stderr.write(`${site.name}\n`);
		const {stdout} = await promisify(execFile)(
			flags.bench,
			[
				'score',
				path.join(flags.sites, site.file),
				'--jobs',
				String(flags.jobs),
				'--why',
				flags.why,
			],
			{maxBuffer: maxOutputBytes},
		);
		const score = readScoreText(stdout);
		if (!score) {
			throw new ProblemError('internal', `${site.name} was not played`);
		}

		comparisons.push(compareScore(site, score));
	}

	process.stdout.write(`${JSON.stringify({sites: comparisons})}\n`);
	process.exitCode = comparisons.some(({problems}) => problems.length > 0)
		? 1
		: 0;
});
