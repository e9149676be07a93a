import {EpochMaintenance, registersOf} from '@lacewingpoint/coordination';
import {keyPrefixes, ticketKey} from '@lacewingpoint/platform';
import {deploymentSchema} from '@lacewingpoint/settings';
import {silentLogger} from '@lacewingpoint/shared';
import {KeyValueTable, MemoryKeyValueService} from '@lacewingpoint/stand-ins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import * as v from 'valibot';
import {Metrics, StoreLink, createTables} from '../src/index.js';

const test = suite('StoreLink');

const host = {
	id: 'a', failureDomain: 'x', callersAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:2', operatorsAddress: '127.0.0.1:3',
};
const deployment = v.parse(deploymentSchema, {name: 'test', hosts: [host], platform: {keyValueService: 'http://127.0.0.1:4'}});
const ticket = {number: 1, author: 't', objects: [{kind: 'key' as const, name: 'k', state: null}]};

class Scene {
	now = 0;
	readonly store = new MemoryKeyValueService(new KeyValueTable(() => this.now));
	readonly tables = createTables(deployment, host, 0);
	readonly link = new StoreLink({
		tables: this.tables,
		clock: {now: () => this.now, wall: () => new Date(0)},
		metrics: new Metrics(),
		logger: silentLogger,
	}, this.store, new EpochMaintenance({self: 'a', removalAfter: 6000, settleAfter: 4000}, 0), {
		record: host, initialHosts: [host], interval: 1000, watchersPerFailureDomain: 3,
	});

	async submit(): Promise<void> {
		await this.store.compareAndSwap([{key: ticketKey(1), value: JSON.stringify(ticket), expected: 0}]);
	}

	holds(): boolean {
		return this.tables.tickets.holds(registersOf(ticket));
	}
}

test('the first round writes the epoch and the registration, later ones read what changed', async () => {
	const scene = new Scene();
	await scene.link.round();
	await scene.link.round();
	assert.is(scene.tables.contact.epoch?.number, 1);
	const entries = await scene.store.list(keyPrefixes.hosts);
	assert.is(entries.isOk ? entries.value.entries.length : 0, 1);
	await scene.submit();
	await scene.link.round();
	assert.ok(scene.holds());
	await scene.link.dispose();
});

test('a reading older than the last is no contact, and takes nothing back', async () => {
	const scene = new Scene();
	await scene.link.round();
	const old = await scene.store.list(keyPrefixes.configuration);
	await scene.submit();
	await scene.link.round();
	scene.store.faults.staleReading = old.isOk ? old.value : undefined;
	scene.now = 4000;
	await scene.link.round();
	// A host alone is its own majority; what counts is that the store's word has become too old.
	assert.is(scene.tables.contact.ages(scene.now).store, 4000);
	assert.ok(scene.holds());
	scene.store.faults.staleReading = undefined;
	await scene.link.round();
	assert.is(scene.tables.contact.ages(scene.now).store, 0);
	await scene.link.dispose();
});

test('an entry that cannot be read is passed over and the others are taken in', async () => {
	const scene = new Scene();
	await scene.store.compareAndSwap([{key: ticketKey(7), value: 'rubbish', expected: 0}]);
	await scene.submit();
	await scene.link.round();
	assert.ok(scene.holds());
	await scene.link.dispose();
});

test.run();
