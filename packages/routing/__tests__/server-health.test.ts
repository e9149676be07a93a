import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServerHealth} from '../src/index.js';

const test = suite('ServerHealth');
const create = () => new ServerHealth({
	firstPause: 300, longestPause: 3000, smoothing: 0.15, failingShare: 0.3, silence: 700, trustOwnEars: 400, forgiveAfter: 5000,
});

test('a server that cannot be reached is left alone, longer each time, and comes back with its first answer', () => {
	const health = create();
	health.noteUnreachable('a', 0);
	assert.is(health.judge('a', 299), 'paused');
	assert.is(health.judge('a', 300), 'good');
	health.noteUnreachable('a', 300);
	assert.is(health.judge('a', 899), 'paused');
	health.noteOutcome('a', false, 700);
	assert.is(health.judge('a', 700), 'good');
});

test('a server that fails part of its requests while it says it is well becomes a last resort, and is forgiven', () => {
	const health = create();
	for (let turn = 0; turn < 10; turn++) {
		health.noteOutcome('grey', turn % 2 === 0, turn * 10);
	}

	assert.is(health.judge('grey', 100), 'failing');
	assert.is(health.judge('grey', 6000), 'good');
});

test('one failure in ten is no reason to avoid a server', () => {
	const health = create();
	for (let turn = 0; turn < 40; turn++) {
		health.noteOutcome('a', turn % 10 === 0, turn * 10);
		assert.is(health.judge('a', turn * 10), 'good');
	}
});

test('a busy server that sends to somebody is not silent; one that owes answers and sends nothing is', () => {
	const health = create();
	health.noteSent('a', 0);
	health.noteSent('a', 100);
	health.noteHeard('a', 600);
	assert.is(health.judge('a', 1200), 'good');
	assert.is(health.silentFor('a', 1200), 600);
	assert.is(health.judge('a', 1400), 'failing');
	health.noteEnded('a');
	health.noteEnded('a');
	assert.is(health.silentFor('a', 9000), 0);
});

test('a host that is cut off does not talk its peers out of servers that they hear', () => {
	const health = create();
	health.noteSent('a', 0);
	health.noteHeard('a', 100);
	health.hearUnreachable('a', 200);
	assert.is(health.judge('a', 200), 'good');
	health.hearUnreachable('b', 200);
	assert.is(health.judge('b', 200), 'paused');
});

test('slowness follows what requests took against what was predicted', () => {
	const health = create();
	for (let turn = 0; turn < 30; turn++) {
		health.noteSpeed('slow', 4, turn);
	}

	assert.ok(health.slowness('slow', 30) > 3.5);
	assert.is(health.slowness('other', 30), 1);
});

test.run();
