import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LearnedCapacity, defaultLearnedCapacityOptions} from '../src/index.js';

const test = suite('LearnedCapacity');

const server = {id: 's', incarnation: '1'};
const {growthInterval, longestGrowthInterval} = defaultLearnedCapacityOptions;

// Eleven requests are sent at once to a server with room for four; it turns seven away, one after the other.
test('the capacity is what a server kept when it turned others away', () => {
	const capacity = new LearnedCapacity(defaultLearnedCapacityOptions);
	assert.is(capacity.limit(server, 0), Number.POSITIVE_INFINITY);
	for (let inFlight = 11; inFlight > 4; inFlight--) {
		capacity.recordRejection(server, inFlight, 0);
	}

	assert.is(capacity.limit(server, 0), 4);
	assert.is(capacity.limit({id: 's', incarnation: '2'}, 0), Number.POSITIVE_INFINITY, 'nothing is known of another process');
});

test('a server always gets one request', () => {
	const capacity = new LearnedCapacity(defaultLearnedCapacityOptions);
	capacity.recordRejection(server, 1, 0);
	assert.is(capacity.limit(server, 0), 1);
});

test('the capacity is raised slowly, and more slowly after each attempt that the server turned away', () => {
	const capacity = new LearnedCapacity(defaultLearnedCapacityOptions);
	capacity.recordRejection(server, 5, 0);
	assert.is(capacity.limit(server, growthInterval - 1), 4);
	assert.is(capacity.limit(server, growthInterval), 5);
	capacity.recordRejection(server, 5, growthInterval);
	assert.is(capacity.limit(server, (2 * growthInterval) + 1), 4);
	assert.is(capacity.limit(server, 3 * growthInterval), 5);
	let now = 3 * growthInterval;
	for (let attempt = 0; attempt < 10; attempt++) {
		capacity.recordRejection(server, 5, now);
		now += longestGrowthInterval;
		assert.ok(capacity.limit(server, now) >= 5, 'it is raised within the longest interval');
	}
});

test('servers that are gone are forgotten', () => {
	const capacity = new LearnedCapacity(defaultLearnedCapacityOptions);
	capacity.recordRejection(server, 5, 0);
	capacity.removeUnknown(() => false);
	assert.is(capacity.limit(server, 0), Number.POSITIVE_INFINITY);
});

test.run();
