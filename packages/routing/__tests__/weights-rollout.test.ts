import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type RolloutServer, WeightsRollout} from '../src/index.js';

const test = suite('WeightsRollout');

function createServer(server: string, more: Partial<RolloutServer> = {}): RolloutServer {
	return {
		server, incarnation: '1', weightsVersion: 1, requests: 0, isLoadingWeights: false, isAvailable: true, isRolloutDraining: false, ...more,
	};
}

const create = () => new WeightsRollout({concurrentShare: 0.25, orderExpiry: 8000});
const due = (rollout: WeightsRollout, servers: readonly RolloutServer[], now = 0, targetVersion = 2) => rollout.plan(targetVersion, servers, now).due.map(entry => entry.server);
const eightServers = Array.from({length: 8}, (_, index) => createServer(`s${index}`, {requests: 8 - index}));

test('a quarter of the servers load at the same time, those with the fewest requests first, and the next ones are listed', () => {
	const plan = create().plan(2, eightServers, 0);
	assert.equal(plan.due.map(entry => entry.server), ['s7', 's6']);
	assert.equal(plan.upcoming.map(entry => entry.server), ['s5', 's4']);
});

test('the next server is due once one has loaded, not before', () => {
	const rollout = create();
	rollout.recordOrder(eightServers[7]!, 2, 0);
	rollout.recordOrder(eightServers[6]!, 2, 0);
	assert.equal(due(rollout, eightServers, 1000), []);
	const servers = eightServers.map(entry => entry.server === 's7' ? {...entry, weightsVersion: 2} : entry);
	assert.equal(due(rollout, servers, 2000), ['s5']);
});

test('a newer target version supersedes a rollout; the servers with the oldest version load first', () => {
	const servers = [createServer('two', {weightsVersion: 2}), createServer('one', {weightsVersion: 1, requests: 9})];
	assert.equal(due(create(), servers, 0, 3), ['one']);
});

test('a server that restarted or ignored its order is given another one', () => {
	const rollout = create();
	rollout.recordOrder(createServer('a'), 2, 0);
	assert.equal(due(rollout, [createServer('a', {incarnation: '2'})], 100), ['a']);
	rollout.recordOrder(createServer('b'), 2, 0);
	assert.equal(due(rollout, [createServer('b')], 7000), []);
	assert.equal(due(rollout, [createServer('b')], 8001), ['b']);
});

test('unavailable servers are skipped', () => {
	const servers = eightServers.map(entry => entry.server === 's7' || entry.server === 's6' ? {...entry, isAvailable: false} : entry);
	assert.equal(due(create(), servers), ['s5', 's4']);
});

test('a single server is updated too', () => {
	assert.equal(due(create(), [createServer('only')]), ['only']);
});

test.run();
