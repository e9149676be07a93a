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

test.run();
