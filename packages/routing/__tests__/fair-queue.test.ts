import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type Priority, FairQueue} from '../src/index.js';

const test = suite('FairQueue');
const seed = 4716;

function request(workspace: string, tokens: number, priority: Priority = 'normal', weight = 1) {
	return {
		workspace, weight, priority, tokens, item: workspace,
	};
}

const always = () => true;

test('a workspace that sends ten times as much gets no more than its share while another waits', () => {
	const queue = new FairQueue<string>();
	for (let index = 0; index < 100; index++) {
		queue.push(request('greedy', 10));
	}

	for (let index = 0; index < 10; index++) {
		queue.push(request('modest', 10));
	}

	const first = Array.from({length: 20}, () => queue.pop(always)!.workspace);
	assert.is(first.filter(name => name === 'modest').length, 10);
});

test('shares follow weights, in tokens', () => {
	const queue = new FairQueue<string>();
	for (let index = 0; index < 60; index++) {
		queue.push(request('light', 10, 'normal', 1));
		queue.push(request('heavy', 10, 'normal', 2));
	}

	const first = Array.from({length: 60}, () => queue.pop(always)!.workspace);
	const heavy = first.filter(name => name === 'heavy').length;
	assert.ok(Math.abs(heavy - 40) <= 1, `${heavy} of 60`);
});

test('high priority goes first', () => {
	const queue = new FairQueue<string>();
	queue.push(request('a', 1));
	queue.push(request('b', 1000, 'high'));
	assert.is(queue.pop(always)!.workspace, 'b');
});

test('what cannot run now does not hold up what can, and nothing is lost', () => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.integer({min: 1, max: 100})), {maxLength: 30}), requests => {
		const queue = new FairQueue<string>();
		for (const [workspace, tokens] of requests) {
			queue.push(request(workspace, tokens));
		}

		const runnable = requests.filter(([workspace]) => workspace !== 'a').length;
		let popped = 0;
		while (queue.pop(item => item !== 'a') !== undefined) {
			popped++;
		}

		assert.equal([popped, queue.size], [runnable, requests.length - runnable]);
	}), {seed});
});

test.run();
