import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RequestQueue} from '../src/index.js';

const test = suite('RequestQueue');

function queuedRequest(item: string, more: Partial<{workspace: string; rank: number; size: number; expiresAt: number}> = {}) {
	return {
		workspace: 'w', rank: 1, size: 10, expiresAt: 1000, item, ...more,
	};
}

function drain(queue: RequestQueue<string>): string[] {
	const accepted: string[] = [];
	queue.offerInOrder(item => {
		accepted.push(item);
		return true;
	});
	return accepted;
}

test('lower ranks are served first, then earlier arrivals', () => {
	const queue = new RequestQueue<string>();
	queue.addRequest(queuedRequest('late', {rank: 2}));
	queue.addRequest(queuedRequest('first', {rank: 1}));
	queue.addRequest(queuedRequest('urgent', {rank: 0}));
	queue.addRequest(queuedRequest('second', {rank: 1}));
	assert.equal(drain(queue), ['urgent', 'first', 'second', 'late']);
	assert.is(queue.size, 0);
});

test('a workspace that sends little is not delayed by one that sends far more', () => {
	const queue = new RequestQueue<string>();
	for (let index = 0; index < 5; index++) {
		queue.addRequest(queuedRequest(`greedy-${index}`, {workspace: 'greedy'}));
	}

	queue.addRequest(queuedRequest('modest', {workspace: 'modest'}));
	assert.is(drain(queue).indexOf('modest'), 1);
});

test('a request that cannot be executed now does not block the others', () => {
	const queue = new RequestQueue<string>();
	queue.addRequest(queuedRequest('large'));
	queue.addRequest(queuedRequest('small'));
	queue.offerInOrder(item => item === 'small');
	assert.is(queue.size, 1);
	assert.is(queue.sizeAhead(1), 10);
	assert.is(queue.sizeAhead(0), 0);
});

test('a request leaves the queue when its queue timeout ends or its client disconnects', () => {
	const queue = new RequestQueue<string>();
	queue.addRequest(queuedRequest('short', {expiresAt: 100}));
	queue.addRequest(queuedRequest('gone'));
	queue.addRequest(queuedRequest('stays'));
	queue.removeItem('gone');
	assert.equal(queue.removeExpired(100), ['short']);
	assert.equal(drain(queue), ['stays']);
});

test.run();
