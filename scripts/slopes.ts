import {writeFile} from 'node:fs/promises';
import {measureSlopes} from '../packages-private/measure/src/index.js';

// Measures the slopes used in docs/CAPACITY.md.

const slopes = measureSlopes();
for (const {name, unit, per, slope, intercept, fit} of slopes) {
	process.stdout.write(`${name}: ${slope.toPrecision(3)} ${unit} per ${per}, intercept ${intercept.toPrecision(3)} (fit ${fit.toFixed(3)})\n`);
}

await writeFile('docs/slopes.json', `${JSON.stringify(slopes, undefined, '\t')}\n`);
