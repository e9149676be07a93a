import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SimulatedFleet} from '../src/index.js';

const test = suite('Messages in a burst of crashes');
const seed = 4737;

test('hosts that report crashes every 5 ms send each peer at most 40 messages a second', async () => {
	const fleet = new SimulatedFleet(seed);
	fleet.publish(1);
	await fleet.startHosts(9, 3);
	await fleet.run(4000);
	const hosts = [...fleet.hosts.values()];
	const sentBefore = hosts.map(host => host.sentMessages);
	for (let step = 0; step < 200; step++) {
		for (const [index, host] of hosts.entries()) {
			host.fleet.gossip.announceCrashes([{
				fingerprint: (1000 * index) + step, parts: [], server: 'i-1', incarnation: '1', failureDomain: 'domain-0', age: 0,
			}]);
		}

		await fleet.run(5);
	}

	for (const [index, host] of hosts.entries()) {
		const sent = host.sentMessages - sentBefore[index]!;
		assert.ok(sent <= 8 * 41, `${host.description.name} sent ${sent} messages`);
	}
});

console.log(`seed ${seed}`);
test.run();
