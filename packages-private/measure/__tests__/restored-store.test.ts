import type {ServerEntry} from '@lacewingpoint/routing';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SimulatedFleet} from '../src/index.js';

const test = suite('Fleet and a restored store');
const seed = 4735;

function createEntry(index: number, sequence: number, isDraining = false): ServerEntry {
	return {
		id: `server-${index}`, incarnation: '1', sequence, service: 's', address: `10.0.0.${index}:1`, failureDomain: 'a', slots: 4, isDraining, weights: {},
	};
}

async function startFleet(hosts: number, domains: number): Promise<SimulatedFleet> {
	const fleet = new SimulatedFleet(seed);
	fleet.publish(1);
	for (let index = 0; index < 20; index++) {
		fleet.registerServer(createEntry(index, 1));
	}

	await fleet.startHosts(hosts, domains);
	await fleet.run(6000);
	return fleet;
}

// The operators' mark: all hosts follow the restored store within two seconds, with one read a failure domain.
for (const [hosts, domains] of [[9, 3], [83, 4], [195, 5]] as const) {
	test(`${hosts} hosts follow a restored store within two seconds, with one read a failure domain, and never go back`, async () => {
		const fleet = await startFleet(hosts, domains);
		assert.equal(fleet.listDeviating(), []);
		const copy = fleet.copyStore();
		fleet.registerServer(createEntry(0, 8, true));
		fleet.registerServer(createEntry(20, 1));
		fleet.publish(2);
		await fleet.run(1000);
		assert.equal(fleet.listDeviating(), []);
		assert.equal(fleet.listOutdated(2), []);

		const readsBefore = fleet.storeReads;
		fleet.restoreStore(copy);
		await fleet.run(500);
		assert.is(fleet.storeReads - readsBefore, domains);
		assert.equal(fleet.listOutdated(2), []);
		for (const host of fleet.hosts.values()) {
			assert.ok(host.clusterState.servers.findEntry('server-0')?.isDraining, `${host.description.name} takes a drained server for available`);
			assert.ok(host.clusterState.servers.findEntry('server-20') !== undefined, `${host.description.name} dropped a server that may register again`);
		}

		// The servers and operators write again, and a server that is new takes revisions that were assigned before.
		fleet.registerServer(createEntry(0, 12, true));
		fleet.registerServer(createEntry(20, 6));
		fleet.registerServer(createEntry(21, 1));
		fleet.publish(3);
		await fleet.run(1500);
		assert.equal(fleet.listDeviating(), []);
		assert.equal(fleet.listOutdated(3), []);
	});
}

test('two restores within a second, one while a relay is cut off, leave all hosts with the state of the second', async () => {
	const fleet = await startFleet(50, 5);
	const cutOff = [...fleet.hosts.values()].find(host => host.fleet.role === 'relay' && !host.isReader)!.description.name;
	const copy = fleet.copyStore();
	fleet.registerServer(createEntry(0, 8, true));
	await fleet.run(500);
	fleet.cut = (from, to) => from === cutOff || to === cutOff;
	fleet.restoreStore(copy);
	await fleet.run(400);
	fleet.registerServer(createEntry(30, 1));
	await fleet.run(100);
	fleet.restoreStore(copy);
	fleet.registerServer(createEntry(0, 12, true));
	fleet.registerServer(createEntry(31, 1));
	await fleet.run(1500);
	fleet.cut = undefined;
	await fleet.run(6000);
	assert.equal(fleet.listDeviating(), []);
});

test.run();
