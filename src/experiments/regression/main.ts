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
const siteNames = regressionSites.map(({name}) => name);

await runProgram(async () => {
	const flags = await createCommandLine('regression')
		.usage(
			'$0: scores sites with the bench of the users and compares the results with the last measured ones',
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
				describe: 'directory that the paths of the site files are relative to',
			},
			site: {
				type: 'string',
				array: true,
				choices: siteNames,
				default: siteNames,
				describe: 'sites to score',
			},
			jobs: {type: 'number', default: 3, describe: 'number of cores to use'},
			why: {
				type: 'string',
				default: 'regression run',
				describe: 'reason to record in the journal',
			},
		})
		.parseAsync();
	const comparisons = [];
	for (const site of regressionSites) {
		if (!flags.site.includes(site.name)) {
			continue;
		}

		process.stderr.write(`scoring ${site.name}\n`);
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
			throw new ProblemError(
				'internal',
				`the bench output for site ${site.name} has no score line or no gate line`,
			);
		}

		comparisons.push(compareScore(site, score));
	}

	process.stdout.write(`${JSON.stringify({sites: comparisons})}\n`);
	process.exitCode = comparisons.some(({problems}) => problems.length > 0)
		? 1
		: 0;
});
