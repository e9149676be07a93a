import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServerHealth} from '../src/index.js';

const test = suite('ServerHealth');
const create = () => new ServerHealth({
	initialBackoff: 300, maximumBackoff: 3000, smoothingFactor: 0.15, failureRateThreshold: 0.3, stallTimeout: 700, recentContactWindow: 400, statisticsExpiry: 5000,
});

test('a server that cannot be reached is left alone, longer each time, and comes back with its first answer', () => {
	const health = create();
	health.recordUnreachable('a', 0);
	assert.is(health.evaluateStatus('a', 299), 'paused');
	assert.is(health.evaluateStatus('a', 300), 'good');
	health.recordUnreachable('a', 300);
	assert.is(health.evaluateStatus('a', 899), 'paused');
	health.recordOutcome('a', false, 700);
	assert.is(health.evaluateStatus('a', 700), 'good');
});

test('a server that fails part of its requests while it says it is well becomes a last resort, and is forgiven', () => {
	const health = create();
	for (let turn = 0; turn < 10; turn++) {
		health.recordOutcome('grey', turn % 2 === 0, turn * 10);
	}

	assert.is(health.evaluateStatus('grey', 100), 'failing');
	assert.is(health.evaluateStatus('grey', 6000), 'good');
});

test('one failure in ten is no reason to avoid a server', () => {
	const health = create();
	for (let turn = 0; turn < 40; turn++) {
		health.recordOutcome('a', turn % 10 === 0, turn * 10);
		assert.is(health.evaluateStatus('a', turn * 10), 'good');
	}
});

test('a busy server that sends to somebody is not silent; one that owes answers and sends nothing is', () => {
	const health = create();
	health.recordRequestSent('a', 0);
	health.recordRequestSent('a', 100);
	health.recordDataReceived('a', 600);
	assert.is(health.evaluateStatus('a', 1200), 'good');
	assert.is(health.stallDuration('a', 1200), 600);
	assert.is(health.evaluateStatus('a', 1400), 'failing');
	health.recordRequestEnded('a');
	health.recordRequestEnded('a');
	assert.is(health.stallDuration('a', 9000), 0);
});

test('a host that is cut off does not talk its peers out of servers that they hear', () => {
	const health = create();
	health.recordRequestSent('a', 0);
	health.recordDataReceived('a', 100);
	health.applyUnreachableReport('a', 200);
	assert.is(health.evaluateStatus('a', 200), 'good');
	health.applyUnreachableReport('b', 200);
	assert.is(health.evaluateStatus('b', 200), 'paused');
});

test('slowness follows what requests took against what was predicted', () => {
	const health = create();
	for (let turn = 0; turn < 30; turn++) {
		health.recordSlowness('slow', 4, turn);
	}

	assert.ok(health.slowness('slow', 30) > 3.5);
	assert.is(health.slowness('other', 30), 1);
});

test.run();
