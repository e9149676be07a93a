import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {stripVTControlCharacters} from 'node:util';

// Runs all test files with uvu and prints the number of passed and failed tests.
// Failures of tests listed in KNOWN-RED.txt are printed, but do not fail the run.

const parameters = ['--import', 'tsx', 'node_modules/uvu/bin.js', '.', String.raw`__tests__/.*\.test\.ts$`, '-i', 'node_modules', '-i', 'dist'];
const child = spawn(process.execPath, parameters, {stdio: ['ignore', 'pipe', 'inherit']});
let output = '';
let wasKilled = false;

// A test process that does not exit after its summary fails the run. It is killed, so that CI does not hang.
const exitGracePeriod = 15_000;
child.stdout.on('data', chunk => {
	const isSummaryPending = !output.includes('Duration:');
	output += String(chunk);
	process.stdout.write(String(chunk));
	if (isSummaryPending && output.includes('Duration:')) {
		setTimeout(() => {
			wasKilled = true;
			process.stdout.write('the test process did not exit\n');
			child.kill('SIGKILL');
		}, exitGracePeriod).unref();
	}
});
await once(child, 'close');

const plainOutput = stripVTControlCharacters(output);
const count = (label: string) => Number(new RegExp(String.raw`^\s*${label}:\s+(\d+)`, 'mv').exec(plainOutput)?.[1] ?? 0);
const total = count('Total');
const passed = count('Passed');
const failed = [...plainOutput.matchAll(/^\s*FAIL\s+(?<name>.+)$/gmv)].map(match => match.groups!.name!.trim());
const knownFailures = await readKnownFailures();
const unexpectedFailures = failed.filter(name => !knownFailures.some(entry => name.includes(entry)));
for (const name of failed.filter(candidate => !unexpectedFailures.includes(candidate))) {
	process.stdout.write(`known red: ${name}\n`);
}

// A test file that crashes does not count as a failed test, so the exit code of uvu is checked as well.
const hasExitedCleanly = !wasKilled && (child.exitCode === 0 || failed.length > 0);
const isSuccessful = total > 0 && unexpectedFailures.length === 0 && hasExitedCleanly;
process.stdout.write(`${passed} passed, ${total - passed} failed\n`);
process.exitCode = isSuccessful ? 0 : 1;

async function readKnownFailures(): Promise<string[]> {
	try {
		const text = await readFile('KNOWN-RED.txt', 'utf8');
		return text.split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim());
	} catch {
		return [];
	}
}
