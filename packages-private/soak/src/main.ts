import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import meow from 'meow';
import type {FaultProfile} from './fault-schedule.js';
import {runSoak} from './soak.js';

const cli = meow(`
	Usage
	  $ npm run soak -- [options]

	Options
	  --first    First seed (1)
	  --seeds    Number of seeds (10)
	  --seconds  Time in which faults begin, for each seed (10)
	  --hosts    Number of hosts (3)
	  --clients  Number of clients (12)
	  --series   Number of series of faults (10)
	  --profile  Faults: mixed, planned (planned work only), malformed (responses and entries) or clients (that misbehave) (mixed)
	  --logs     Folder for the logs of hosts of seeds with violations
	  --json     Print one JSON object a seed
`, {
	importMeta: import.meta,
	flags: {
		first: {type: 'number', default: 1},
		seeds: {type: 'number', default: 10},
		seconds: {type: 'number', default: 10},
		hosts: {type: 'number', default: 3},
		clients: {type: 'number', default: 12},
		series: {type: 'number', default: 10},
		profile: {type: 'string', default: 'mixed', choices: ['mixed', 'planned', 'malformed', 'clients']},
		logs: {type: 'string'},
		json: {type: 'boolean', default: false},
	},
});

const {
	first, seeds, seconds, hosts, clients, series, json, logs: logFolder, profile,
} = cli.flags;
let failedSeeds = 0;
for (let seed = first; seed < first + seeds; seed++) {
	const report = await runSoak({
		seed, duration: seconds * 1000, hostCount: hosts, clientCount: clients, seriesCount: series, profile: profile as FaultProfile,
	});
	const {logs, ...printed} = report;
	if (logFolder !== undefined && report.violations.length > 0) {
		await mkdir(logFolder, {recursive: true});
		await Promise.all(logs.map(async ({host, log}, index) => writeFile(join(logFolder, `seed-${seed}-${host}-process-${index}.log`), log)));
	}

	failedSeeds += report.violations.length === 0 ? 0 : 1;
	if (json) {
		process.stdout.write(`${JSON.stringify(printed)}\n`);
	} else {
		const counts = Object.entries(report.requests).map(([name, count]) => `${count} ${name}`).join(', ');
		process.stdout.write(`seed ${seed}: ${report.violations.length === 0 ? 'ok' : `${report.violations.length} violations`}; ${counts}\n`);
		for (const {promise, detail} of report.violations.slice(0, 5)) {
			process.stdout.write(`  ${promise}: ${detail}\n`);
		}
	}
}

process.stdout.write(`${seeds - failedSeeds} seeds ok, ${failedSeeds} with violations\n`);
process.exitCode = failedSeeds === 0 ? 0 : 1;
