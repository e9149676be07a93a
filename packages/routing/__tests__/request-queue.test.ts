import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RequestQueue} from '../src/index.js';

const test = suite('WaitingLine');

function waiting(item: string, more: Partial<{workspace: string; rank: number; size: number; expiresAt: number}> = {}) {
	return {
		workspace: 'w', rank: 1, size: 10, expiresAt: 1000, item, ...more,
	};
}

function drain(line: RequestQueue<string>): string[] {
	const order: string[] = [];
	line.offerInOrder(item => {
		order.push(item);
		return true;
	});
	return order;
}

test('lower ranks go first, then arrival', () => {
	const line = new RequestQueue<string>();
	line.addRequest(waiting('late', {rank: 2}));
	line.addRequest(waiting('first', {rank: 1}));
	line.addRequest(waiting('urgent', {rank: 0}));
	line.addRequest(waiting('second', {rank: 1}));
	assert.equal(drain(line), ['urgent', 'first', 'second', 'late']);
	assert.is(line.size, 0);
});

test('a workspace that sends far more waits behind one that sends little', () => {
	const line = new RequestQueue<string>();
	for (let index = 0; index < 5; index++) {
		line.addRequest(waiting(`greedy-${index}`, {workspace: 'greedy'}));
	}

	line.addRequest(waiting('modest', {workspace: 'modest'}));
	assert.is(drain(line).indexOf('modest'), 1);
});

test('what cannot run now does not hold up what can', () => {
	const line = new RequestQueue<string>();
	line.addRequest(waiting('large'));
	line.addRequest(waiting('small'));
	line.offerInOrder(item => item === 'small');
	assert.is(line.size, 1);
	assert.is(line.sizeAhead(1), 10);
	assert.is(line.sizeAhead(0), 0);
});

test('leaves at once when its time is over or its client has gone', () => {
	const line = new RequestQueue<string>();
	line.addRequest(waiting('short', {expiresAt: 100}));
	line.addRequest(waiting('gone'));
	line.addRequest(waiting('stays'));
	line.removeItem('gone');
	assert.equal(line.removeExpired(100), ['short']);
	assert.equal(drain(line), ['stays']);
});

test.run();
