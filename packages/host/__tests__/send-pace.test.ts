import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {GossipEventQueue, SendPace} from '../src/index.js';

const test = suite('SendPace');

test('sends urgent events every 25 ms, and others less often the more links there are', () => {
	const pace = new SendPace();
	assert.is(pace.computeInterval(8, false), 25);
	assert.is(pace.computeInterval(49, false), 147);
	assert.is(pace.computeInterval(49, true), 25);
});

test('sends less often while timers run late, and as before once they run in time', () => {
	const pace = new SendPace();
	pace.recordTimer(61);
	assert.is(pace.computeInterval(8, true), 145);
	for (let timer = 0; timer < 10; timer++) {
		pace.recordTimer(0);
	}

	assert.ok(pace.computeInterval(8, true) < 26);
});

test('splits events that concern many servers over several messages, and sends each once', () => {
	const queue = new GossipEventQueue();
	const names = Array.from({length: 100}, (_, index) => `i-${index}`);
	queue.forward({
		placements: [], paces: [], weights: names.map(server => ({server, model: 'm', version: 1})), loading: names.map(server => ({server, time: 1})), unreachable: names, emptying: names,
		leaving: names.map(id => ({id, incarnation: '1'})),
	});
	const taken = [queue.take(0), queue.take(0), queue.take(0)];
	assert.equal(taken.map(({hasMore}) => hasMore), [true, true, false]);
	assert.ok(queue.isEmpty);
	for (const kind of ['weights', 'loading', 'unreachable', 'emptying', 'leaving'] as const) {
		assert.equal(taken.map(({events}) => events[kind].length), [40, 40, 20], kind);
	}

	assert.equal(taken.flatMap(({events}) => events.unreachable), names);
});

test.run();
