import {EtcdKeyValueService, HttpWeightStore} from '@lacewingpoint/platform';
import {readHostSettings} from '@lacewingpoint/settings';
import {createLogger, describeError, startRepeatingTask} from '@lacewingpoint/shared';
import meow from 'meow';
import {Reconciler} from './reconciler.js';

const exitBadSettings = 2;

const cli = meow(`
	Usage
	  $ lacewingpoint-controller --settings <file> --host <id>

	Options
	  --settings  The deployment's settings, JSON with comments
	  --host      Which of the deployment's hosts this is

	Exit codes
	  0  stopped gracefully   2  bad settings
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

const {platform, controller} = started.value.deployment;
const logger = createLogger('lacewingpoint-controller', started.value.host.id, () => new Date());
const store = new EtcdKeyValueService({origin: platform.keyValueService, timeout: platform.callTimeoutMilliseconds});
const weights = platform.weightStore === undefined ? undefined : new HttpWeightStore(platform.weightStore, platform.callTimeoutMilliseconds);
const reconciler = new Reconciler({store, weights}, () => performance.now(), logger, {
	holder: started.value.host.id,
	leaseTime: controller.leaseMilliseconds,
	pauseMargin: controller.pauseMarginMilliseconds,
	servingShare: controller.servingShare,
});
const task = startRepeatingTask(controller.intervalMilliseconds, async () => reconciler.round(), error => {
	logger.warn('round-failed', {message: String(error)});
});
logger.info('controller-started');
process.once('SIGTERM', async () => {
	await task.dispose();
	await reconciler.dispose();
	logger.info('controller-stopped');
	process.exit(0);
});
