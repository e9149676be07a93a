import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ArrivalBarrier} from '../src/requests/arrival-barrier.js';

const test = suite('ArrivalBarrier');

test('an action runs only after a whole phase of reading has passed since it was added', () => {
	const scheduled: Array<() => void> = [];
	const barrier = new ArrivalBarrier(callback => {
		scheduled.push(callback);
	});
	const ran: string[] = [];
	const endPhase = () => scheduled.shift()?.();
	barrier.pass(() => {
		ran.push('first');
	});
	endPhase();
	barrier.pass(() => {
		ran.push('second');
	});
	assert.equal(ran, []);
	endPhase();
	assert.equal(ran, ['first']);
	endPhase();
	assert.equal(ran, ['first', 'second']);
	assert.is(scheduled.length, 0);
});

test('an action may add another one', () => {
	const scheduled: Array<() => void> = [];
	const barrier = new ArrivalBarrier(callback => {
		scheduled.push(callback);
	});
	let count = 0;
	const addNext = () => {
		count++;
		if (count < 3) {
			barrier.pass(addNext);
		}
	};

	barrier.pass(addNext);
	for (let phase = 0; phase < 20; phase++) {
		scheduled.shift()?.();
	}

	assert.is(count, 3);
});

// Guards against requests that hang until their deadline because another one of the same turn has failed.
test('an action that throws does not keep others from running', async () => {
	const barrier = new ArrivalBarrier();
	const uncaught: unknown[] = [];
	const previousListeners = process.listeners('uncaughtException');
	process.removeAllListeners('uncaughtException');
	process.once('uncaughtException', error => {
		uncaught.push(error);
	});
	let hasRun = false;
	const failure = new Error('invalid');
	barrier.pass(() => {
		throw failure;
	});
	barrier.pass(() => {
		hasRun = true;
	});
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	for (const listener of previousListeners) {
		process.on('uncaughtException', listener);
	}

	assert.ok(hasRun);
	assert.equal(uncaught, [failure]);
});

test.run();
