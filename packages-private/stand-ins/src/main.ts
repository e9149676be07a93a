import {pid} from 'node:process';
import meow from 'meow';
import {EngineStandIn} from './engine-stand-in.js';
import type {StandInServer} from './http-server.js';
import {PlatformStandIn} from './platform-stand-in.js';
import {ServiceStandIn} from './service-stand-in.js';

const cli = meow(`
	Usage
	  $ stand-in platform|engine|service --port <port>

	Options
	  --port             Port on loopback
	  --model            Engine: the model it serves
	  --version-name     Engine: the weights it starts with
	  --prefill          Engine: prefill speed in tokens a second
	  --token-interval   Engine: time between tokens in milliseconds
	  --cache-blocks     Engine: size of its prefix cache
	  --checks-fencing   Engine: refuses orders with an old fencing number
	  --load-time        Engine: time that new weights take, in milliseconds
`, {
	importMeta: import.meta,
	flags: {
		port: {type: 'number', isRequired: true},
		model: {type: 'string', default: 'general'},
		versionName: {type: 'string', default: 'v1'},
		prefill: {type: 'number', default: 20_000},
		tokenInterval: {type: 'number', default: 5},
		cacheBlocks: {type: 'number', default: 2000},
		checksFencing: {type: 'boolean', default: false},
		loadTime: {type: 'number', default: 1000},
	},
});

function createStandIn(): StandInServer {
	const [kind = 'engine'] = cli.input;
	switch (kind) {
		case 'platform': {
			return new PlatformStandIn().server;
		}

		case 'service': {
			return new ServiceStandIn().server;
		}

		default: {
			return new EngineStandIn({
				model: cli.flags.model,
				version: cli.flags.versionName,
				incarnation: `${pid}-${Date.now()}`,
				prefillTokensPerSecond: cli.flags.prefill,
				tokenInterval: cli.flags.tokenInterval,
				cacheBlocks: cli.flags.cacheBlocks,
				checksFencing: cli.flags.checksFencing,
				loadTime: cli.flags.loadTime,
				onCrash() {
					process.exit(1);
				},
			}).server;
		}
	}
}

await createStandIn().listen(cli.flags.port);
process.on('SIGTERM', () => {
	process.exit(0);
});
