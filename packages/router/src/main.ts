import {readHostSettings} from '@lacewingpoint/settings';
import {createLogger, describeError, messageOf} from '@lacewingpoint/shared';
import meow from 'meow';
import {systemClock} from './clock.js';
import {RouterDaemon} from './daemon.js';

const exitBadSettings = 2;

const cli = meow(`
	Usage
	  $ lacewingpoint-router --settings <file> --host <id>

	Options
	  --settings  The deployment's settings, JSON with comments
	  --host      Which of the deployment's hosts this is

	Exit codes
	  0  stopped gracefully   1  failed   2  bad settings
`, {
	importMeta: import.meta,
	flags: {
		settings: {type: 'string', isRequired: true},
		host: {type: 'string', isRequired: true},
	},
});

const started = await readHostSettings(cli.flags.settings, cli.flags.host);
if (started.isErr) {
	process.stderr.write(`${describeError(started.error)}\n`);
	process.exit(exitBadSettings);
}

const logger = createLogger('lacewingpoint-router', started.value.host.id, () => systemClock.wall());
const daemon = new RouterDaemon(started.value.deployment, started.value.host, systemClock, logger);
process.once('SIGTERM', async () => {
	await daemon.stop();
	process.exit(0);
});
try {
	await daemon.start();
} catch (error) {
	logger.warn('start-failed', {message: messageOf(error)});
	process.exit(1);
}
