import {type CrowdOptions, MisbehavingClient} from './misbehaving-client.js';

// Runs a crowd of clients, described by the first argument, until standard input is closed. A process of its own, because a busy crowd would
// hold up the stand-ins of the test that uses it.

const options = JSON.parse(process.argv[2]!) as CrowdOptions;
const clients = Array.from({length: options.size}, (_, index) => new MisbehavingClient(options, index));
for (const client of clients) {
	client.start();
}

process.stdin.resume();
process.stdin.on('end', () => {
	for (const client of clients) {
		client.stop();
	}

	process.exit();
});
