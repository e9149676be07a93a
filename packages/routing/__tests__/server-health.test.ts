import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServerHealth} from '../src/index.js';

const test = suite('ServerHealth');
const create = () => new ServerHealth({
	initialBackoff: 300, maximumBackoff: 3000, smoothingFactor: 0.15, failureRateThreshold: 0.3, stallTimeout: 700, recentContactWindow: 400, statisticsExpiry: 5000,
});

test('an unreachable server is paused for longer each time and available again after its first response', () => {
	const health = create();
	health.recordUnreachable('a', 0);
	assert.is(health.evaluateStatus('a', 299), 'paused');
	assert.is(health.evaluateStatus('a', 300), 'good');
	health.recordUnreachable('a', 300);
	assert.is(health.evaluateStatus('a', 899), 'paused');
	health.recordOutcome('a', false, 700);
	assert.is(health.evaluateStatus('a', 700), 'good');
});

test('a server that fails part of its requests becomes a last resort, until its statistics expire', () => {
	const health = create();
	for (let request = 0; request < 10; request++) {
		health.recordOutcome('grey', request % 2 === 0, request * 10);
	}

	assert.is(health.evaluateStatus('grey', 100), 'failing');
	assert.is(health.evaluateStatus('grey', 6000), 'good');
});

test('a server that fails one request in ten is not avoided', () => {
	const health = create();
	for (let request = 0; request < 40; request++) {
		health.recordOutcome('a', request % 10 === 0, request * 10);
		assert.is(health.evaluateStatus('a', request * 10), 'good');
	}
});

test('a server that sends data for any request is not stalled; one that sends none for requests in flight is', () => {
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

test('the report of a partitioned host does not pause servers from which its peers receive data', () => {
	const health = create();
	health.recordRequestSent('a', 0);
	health.recordDataReceived('a', 100);
	health.applyUnreachableReport('a', 200);
	assert.is(health.evaluateStatus('a', 200), 'good');
	health.applyUnreachableReport('b', 200);
	assert.is(health.evaluateStatus('b', 200), 'paused');
});

test.run();
