import {readFile} from 'node:fs/promises';
import {setTimeout as pause} from 'node:timers/promises';
import {describeError} from '@lacewingpoint/shared';
import {EtcdKeyValueService} from '@lacewingpoint/platform';
import {readDeployment} from '@lacewingpoint/settings';
import meow from 'meow';
import {exitCodes} from './exit-codes.js';
import {askHost} from './host-client.js';
import {type CommandContext, runCommand} from './commands.js';

const patience = 12_000;

const cli = meow(`
	Usage
	  $ lacewingpointctl --settings <file> <command>

	Commands
	  ticket submit <file>      Submit a numbered change, JSON with comments
	  ticket show [<number>]    Show a ticket, or the whole state in force
	  status                    Who has what in force
	  audit                     The trail of changes
	  key issue <workspace>     Make a key and print its secret once
	  key withdraw <key>        Withdraw a key
	  drain <backend>           Send a backend server no new work
	  settings check            Check the settings file

	Options
	  --settings  The deployment's settings, JSON with comments
	  --number    The ticket's number for key and drain; by default the next one
	  --author    Who makes the change; by default the login name
	  --json      Print data as JSON

	Exit codes
	  0  done; a ticket is in force everywhere
	  1  failed
	  2  bad settings, ticket or arguments
	  3  refused: the number is taken by another ticket
	  4  stored, but not accepted yet
	  5  accepted, but some hosts did not answer
	  6  the store did not answer; submitting again is harmless
`, {
	importMeta: import.meta,
	flags: {
		settings: {type: 'string', isRequired: true},
		number: {type: 'number'},
		author: {type: 'string'},
		json: {type: 'boolean', default: false},
	},
});

const deployment = await readDeployment(cli.flags.settings);
if (deployment.isErr) {
	process.stderr.write(`${describeError(deployment.error)}\n`);
	process.exit(exitCodes.badInput);
}

const {platform, hosts} = deployment.value;
const store = new EtcdKeyValueService({origin: platform.keyValueService, timeout: platform.callTimeoutMilliseconds});
const context: CommandContext = {
	store,
	hosts,
	ask: askHost,
	patience,
	now: () => performance.now(),
	wall: () => new Date(),
	async pause(time) {
		await pause(time);
	},
	readText: async path => readFile(path, 'utf8'),
	author: cli.flags.author ?? process.env.USER ?? 'operator',
	number: cli.flags.number,
	isJson: cli.flags.json,
	print(text) {
		process.stdout.write(`${text}\n`);
	},
	printError(text) {
		process.stderr.write(`${text}\n`);
	},
};
const code = await runCommand(context, cli.input);
await store.dispose();
process.exit(code);
