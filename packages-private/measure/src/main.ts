import {writeFile} from 'node:fs/promises';
import meow from 'meow';
import {tokensPerBlock} from '@lacewingpoint/routing';
import {type PolicyName, policyNames} from './policies.js';
import type {RunResult} from './run-record.js';
import {
	type Disturbance, type RunOptions, Simulation, disturbances,
} from './simulation.js';
import {type WorkloadShape, courseGuides, datasheets} from './workload.js';

const cli = meow(`
	Usage
	  $ npm run measure -- [options]

	Options
	  --seed     Seed of the draws (4714)
	  --seconds  Length of each run in event time (90)
	  --load     Only this load, in percent of what round robin can just carry
	  --json     Where the results are written (measurements.json)
`, {
	importMeta: import.meta,
	flags: {
		seed: {type: 'number', default: 4714},
		seconds: {type: 'number', default: 90},
		load: {type: 'number'},
		json: {type: 'string', default: 'measurements.json'},
	},
});

const warmUpSeconds = 20;
const loads = cli.flags.load === undefined ? [50, 70, 90] : [cli.flags.load];
const pilotLoad = 0.3;

type Row = {readonly workload: string; readonly load: number; readonly disturbance: Disturbance; readonly policy: PolicyName; readonly result: RunResult};

function tokensPerRequest(shape: WorkloadShape): number {
	return (shape.instructionBlocks + ((shape.shortestDocument + shape.longestDocument) / 2) + shape.caseBlocks) * tokensPerBlock;
}

// A load of 100% is the rate at which round robin would keep every server computing without a pause.
function fullLoad(shape: WorkloadShape): number {
	const raw = shape.servers * shape.tokensPerSecond / tokensPerRequest(shape);
	const pilot = run(shape, 'round robin', raw * pilotLoad, 'none');
	return raw / (1 - pilot.hitRate);
}

function run(shape: WorkloadShape, policy: PolicyName, requestsPerSecond: number, disturbance: Disturbance): RunResult {
	const options: RunOptions = {
		shape, policy, requestsPerSecond, disturbance, seed: cli.flags.seed, seconds: cli.flags.seconds, warmUpSeconds,
	};
	const result = new Simulation(options).run();
	return {...result, floorP99: result.floorP99 * 1000 / shape.tokensPerSecond};
}

function printRow({workload, load, disturbance, policy, result}: Row): void {
	const cells = [
		workload.padEnd(13),
		`${load}%`.padStart(4),
		disturbance.padEnd(16),
		policy.padEnd(13),
		...[result.p50, result.p95, result.p99, result.floorP99].map(value => value.toFixed(0).padStart(6)),
		`${(100 * result.hitRate).toFixed(1)}%`.padStart(6),
		result.recomputed.toFixed(2).padStart(6),
		`${(100 * result.worstServedShare).toFixed(1)}%`.padStart(7),
		`${(100 * result.refusedShare).toFixed(2)}%`.padStart(7),
	];
	process.stdout.write(`${cells.join('  ')}\n`);
}

process.stdout.write('workload       load  disturbance       policy            p50     p95     p99   floor    hits  recomp   worst  refused\n');
const rows: Row[] = [];
for (const shape of [datasheets, courseGuides]) {
	const full = fullLoad(shape);
	for (const load of loads) {
		for (const disturbance of disturbances) {
			for (const policy of policyNames) {
				const row: Row = {
					workload: shape.name, load, disturbance, policy, result: run(shape, policy, full * load / 100, disturbance),
				};
				rows.push(row);
				printRow(row);
			}
		}
	}
}

await writeFile(cli.flags.json, `${JSON.stringify({seed: cli.flags.seed, seconds: cli.flags.seconds, rows}, undefined, '\t')}\n`);
