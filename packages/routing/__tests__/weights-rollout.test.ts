import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type RolloutServer, WeightsRollout} from '../src/index.js';

const test = suite('WeightsRollout');

function row(server: string, more: Partial<RolloutServer> = {}): RolloutServer {
	return {
		server, incarnation: '1', weightsVersion: 1, requests: 0, isLoadingWeights: false, isAvailable: true, isRolloutDraining: false, ...more,
	};
}

const create = () => new WeightsRollout({concurrentShare: 0.25, orderExpiry: 8000});
const due = (rollout: WeightsRollout, rows: readonly RolloutServer[], now = 0, wanted = 2) => rollout.plan(wanted, rows, now).due.map(entry => entry.server);
const eight = Array.from({length: 8}, (_, index) => row(`s${index}`, {requests: 8 - index}));

test('loads a quarter of the servers at once, the emptiest first, and names those that follow', () => {
	const plan = create().plan(2, eight, 0);
	assert.equal(plan.due.map(entry => entry.server), ['s7', 's6']);
	assert.equal(plan.upcoming.map(entry => entry.server), ['s5', 's4']);
});

test('goes on when one has loaded, not before', () => {
	const rollout = create();
	rollout.recordOrder(eight[7]!, 2, 0);
	rollout.recordOrder(eight[6]!, 2, 0);
	assert.equal(due(rollout, eight, 1000), []);
	const rows = eight.map(entry => entry.server === 's7' ? {...entry, weightsVersion: 2} : entry);
	assert.equal(due(rollout, rows, 2000), ['s5']);
});

test('a version named meanwhile supersedes: those furthest behind go first', () => {
	const rows = [row('two', {weightsVersion: 2}), row('one', {weightsVersion: 1, requests: 9})];
	assert.equal(due(create(), rows, 0, 3), ['one']);
});

test('a server that restarted under an order, or took no notice of it, is ordered again', () => {
	const rollout = create();
	rollout.recordOrder(row('a'), 2, 0);
	assert.equal(due(rollout, [row('a', {incarnation: '2'})], 100), ['a']);
	rollout.recordOrder(row('b'), 2, 0);
	assert.equal(due(rollout, [row('b')], 7000), []);
	assert.equal(due(rollout, [row('b')], 8001), ['b']);
});

test('servers that cannot be reached take no turn', () => {
	const rows = eight.map(entry => entry.server === 's7' || entry.server === 's6' ? {...entry, isAvailable: false} : entry);
	assert.equal(due(create(), rows), ['s5', 's4']);
});

test('one server is enough to go on with', () => {
	assert.equal(due(create(), [row('only')]), ['only']);
});

test.run();
