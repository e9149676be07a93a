import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type StateChange, addTransferTime} from '../src/index.js';

const test = suite('addTransferTime');
const weights: StateChange = {
	type: 'weights', revision: 5, model: 'm', version: 2, age: 4000, isAgeAssumed: false,
};

test('adds the time of a prompt transfer to a measured age', () => {
	assert.equal(addTransferTime(weights, 120), {...weights, age: 4120});
});

// Guards against hosts that adopt, and pass on as measured, an age from a snapshot that was on its way for seconds.
test('marks the age in a snapshot as assumed if the transfer took long', () => {
	assert.equal(addTransferTime(weights, 2400), {...weights, age: 6400, isAgeAssumed: true});
});

test('leaves changes without an age alone', () => {
	const change: StateChange = {type: 'server-gone', revision: 5, id: 'i-1'};
	assert.is(addTransferTime(change, 2400), change);
});

test.run();
