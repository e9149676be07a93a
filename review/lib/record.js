import {appendFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

/**
 * Creates the record of a run, `record.txt` in the folder of the case.
 *
 * @param scenario - URL of the scenario's module.
 * @returns Adds a line, with the time since the start in milliseconds.
 */
export function createRecord(scenario) {
	const file = fileURLToPath(new URL('record.txt', scenario));
	const startedAt = performance.now();
	writeFileSync(file, '');
	return text => {
		appendFileSync(file, `${(performance.now() - startedAt).toFixed(0).padStart(6)} ${text}\n`);
	};
}
