import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {isConfigurationOutdated} from '../src/index.js';

const test = suite('isConfigurationOutdated');

// The host gets four times what it can do from second 1 to 6; meanwhile it reads messages about changes seconds late.
test('requests are rejected only while an overloaded host cannot know of a configuration that is to be in force', () => {
	const confirmedAt = [0, 1000, 1200, 1200, 1200, 4500, 6000, 7000];
	const rejected = confirmedAt.map((at, second) => isConfigurationOutdated({
		age: (second * 1000) - at, isBehind: second >= 1 && second <= 6, applyWithin: 2000,
	}));
	assert.equal(rejected, [false, false, false, true, true, false, false, false]);
});

test('a host that keeps up, or whose store does not respond, goes on serving', () => {
	assert.not(isConfigurationOutdated({age: 60_000, isBehind: false, applyWithin: 2000}));
	assert.not(isConfigurationOutdated({age: undefined, isBehind: true, applyWithin: 2000}));
});

test('without a limit in the settings, no request is rejected', () => {
	assert.not(isConfigurationOutdated({age: 60_000, isBehind: true, applyWithin: undefined}));
});

test.run();
