import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import meow from 'meow';
import {runCommand} from './commands.js';

const cli = meow(`
	Usage
	  $ lacewingpointctl <command>

	Commands
	  explain <id> [<log>...]   Why a request ended as it did, from the logs of all hosts
	  audit [<log>...]          Which changes were taken over, by whom and when
	  status <address>...       What hosts believe, from their metrics addresses
	  settings check <file>     Check a settings file

	Without a log, standard input is read.

	Options
	  --json  Print data as JSON, one object a line

	Exit codes
	  0  done
	  1  failed
	  2  bad arguments, settings or log files
	  3  no such request in the logs
	  4  a host does not answer
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
