import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import meow from 'meow';
import {runCommand} from './commands.js';

const cli = meow(`
	Usage
	  $ lacewingpointctl <command>

	Commands
	  explain <id> [<log>...]   Explain the outcome of a request from the logs of all hosts
	  audit [<log>...]          List which hosts applied or made which changes, and when
	  status <address>...       Show the status of hosts, given their metrics addresses
	  settings check <file>     Validate a settings file
	  configuration check <file> [<in force>]
	                            Check a configuration before it is published, and compare it with the one in force

	Without log files, standard input is read.

	Options
	  --json  Print JSON, one object per line

	Exit codes
	  0  success
	  1  failure, or errors found in a configuration
	  2  invalid arguments, settings, log files or configurations
	  3  request not found in the logs
	  4  host unreachable, or its response has no metrics of a host
`, {
	importMeta: import.meta,
	flags: {
		json: {type: 'boolean', default: false},
	},
});

process.exitCode = await runCommand({
	isJson: cli.flags.json,
	readText: async path => path === '-' ? text(process.stdin) : readFile(path, 'utf8'),
	print(line) {
		process.stdout.write(`${line}\n`);
	},
	printError(line) {
		process.stderr.write(`${line}\n`);
	},
}, cli.input);
