import {writeFile} from 'node:fs/promises';
import meow from 'meow';
import {type ExperimentResult, loadPatterns, runExperiment} from './experiment.js';
import {policyNames} from './simulated-host.js';
import {instituto, tanaRidge} from './workload.js';

const cli = meow(`
	Usage
	  $ npm run measure -- [options]

	Options
	  --seed     Seed of the draws (4714)
	  --seconds  Length of each run in event time (30)
	  --load     Requests over those of the sheets (1)
	  --json     Where the results are written; nowhere when left out
`, {
	importMeta: import.meta,
	flags: {
		seed: {type: 'number', default: 4714},
		seconds: {type: 'number', default: 30},
		load: {type: 'number', default: 1},
		json: {type: 'string'},
	},
});

const {seed, seconds, load, json} = cli.flags;
const percent = (share: number) => `${(100 * share).toFixed(1)}%`;

function printRow(cells: readonly string[]): void {
	const widths = [11, 13, 15, 9, 9, 9, 6, 6, 6, 7, 10];
	process.stdout.write(`${cells.map((cell, index) => index < 3 ? cell.padEnd(widths[index]!) : cell.padStart(widths[index]!)).join(' ')}\n`);
}

printRow(['site', 'pattern', 'policy', 'on time', 'worst', 'unserved', 'p50', 'p95', 'p99', 'hits', 'imbalance']);
const rows: Array<Readonly<Record<string, unknown>> & {readonly result: ExperimentResult}> = [];
for (const site of [tanaRidge, instituto]) {
	for (const pattern of loadPatterns) {
		for (const policy of policyNames) {
			const result = runExperiment({
				site, policy, pattern, loadFactor: load, durationSeconds: seconds, seed,
			});
			rows.push({
				site: site.name, pattern, policy, result,
			});
			printRow([site.name, pattern, policy, percent(result.withinObjective), percent(result.worstKind), percent(result.unserved), result.p50.toFixed(0), result.p95.toFixed(0), result.p99.toFixed(0), percent(result.hitRate), result.imbalance.toFixed(2)]);
		}
	}
}

if (json !== undefined) {
	await writeFile(json, `${JSON.stringify({
		seed, seconds, load, rows,
	}, undefined, '\t')}\n`);
}
