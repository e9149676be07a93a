import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {GossipEventQueue} from '../src/index.js';
import {noEvents} from '../src/members/gossip-events.js';

const test = suite('GossipEventQueue');

// Guards against the class of issue 32's inc1: a relay that is suspended between learning of weights and sending the datagram.
test('adds the time for which an update waited to be sent to the age of weights', () => {
	const queue = new GossipEventQueue();
	queue.addUpdate({
		version: 1, change: {
			type: 'weights', revision: 10, model: 'm', version: 3, age: 100, isAgeAssumed: false,
		},
	}, 50_000);
	const [update] = queue.take(54_000).events.updates;
	assert.is(update?.change.type === 'weights' ? update.change.age : undefined, 4100);
});

// 550 hosts that report what they observed of many servers.
test('summaries of one server are combined, and a datagram holds few of them', () => {
	const queue = new GossipEventQueue();
	queue.forward({...noEvents, paces: [{server: 's0', mean: 0.2, count: 1}]});
	queue.forward({...noEvents, paces: [{server: 's0', mean: 0.6, count: 3}]});
	queue.forward({...noEvents, paces: Array.from({length: 200}, (_, index) => ({server: `s${index + 1}`, mean: 0, count: 1}))});
	const {events, hasMore} = queue.take(0);
	assert.is(events.paces.length, 8);
	assert.ok(Math.abs(events.paces[0]!.mean - 0.5) < 1e-9);
	assert.is(events.paces[0]!.count, 4);
	assert.ok(hasMore);
	let rest = 0;
	while (!queue.isEmpty) {
		rest += queue.take(0).events.paces.length;
	}

	assert.is(rest, 56);
});

test.run();
