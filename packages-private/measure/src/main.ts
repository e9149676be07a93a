import {writeFile} from 'node:fs/promises';
import meow from 'meow';
import {type ExperimentResult, loadPatterns, runExperiment} from './experiment.js';
import {policyNames} from './simulated-host.js';
import {
	florDeChimborazo, glenrath, instituto, tanaRidge, villasenor,
} from './workload.js';

const cli = meow(`
	Usage
	  $ npm run measure -- [options]

	Options
	  --seed     Seed of the random numbers (4714)
	  --seconds  Simulated duration of each run (30)
	  --load     Factor on the request rates of the sites (1)
	  --json     File to write the results to
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
const formatPercent = (share: number) => `${(100 * share).toFixed(1)}%`;

function printRow(cells: readonly string[]): void {
	const widths = [18, 13, 15, 9, 9, 9, 6, 6, 6, 7, 10, 8, 11];
	process.stdout.write(`${cells.map((cell, index) => index < 3 ? cell.padEnd(widths[index]!) : cell.padStart(widths[index]!)).join(' ')}\n`);
}

printRow(['site', 'pattern', 'policy', 'on time', 'worst', 'unserved', 'p50', 'p95', 'p99', 'hits', 'imbalance', 'busiest', 'late pauses']);
const rows: Array<Readonly<Record<string, unknown>> & {readonly result: ExperimentResult}> = [];
for (const site of [tanaRidge, instituto, florDeChimborazo, glenrath, villasenor]) {
	for (const pattern of loadPatterns) {
		for (const policy of policyNames) {
			const result = runExperiment({
				site, policy, pattern, loadFactor: load, durationSeconds: seconds, seed,
			});
			rows.push({
				site: site.name, pattern, policy, result,
			});
			printRow([site.name, pattern, policy, formatPercent(result.withinObjective), formatPercent(result.worstKind), formatPercent(result.unserved), result.p50.toFixed(0), result.p95.toFixed(0), result.p99.toFixed(0), formatPercent(result.hitRate), result.imbalance.toFixed(2), result.busyImbalance.toFixed(2), formatPercent(result.latePauses)]);
		}
	}
}

if (json !== undefined) {
	await writeFile(json, `${JSON.stringify({
		seed, seconds, load, rows,
	}, undefined, '\t')}\n`);
}
