import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {GossipEventQueue} from '../src/index.js';

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

test.run();
