import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {StateConfirmation} from '../src/state/state-confirmation.js';

const test = suite('StateConfirmation');

test('the state is as old as the latest confirmation, or recent while a watch is open', () => {
	const confirmation = new StateConfirmation();
	assert.is(confirmation.age(100), Number.POSITIVE_INFINITY);
	confirmation.record(1000);
	confirmation.record(900);
	assert.is(confirmation.age(3000), 2000);
	confirmation.openWatch(() => 2800);
	assert.is(confirmation.age(3000), 200);
	confirmation.closeWatch();
	assert.is(confirmation.age(3000), 2000);
});

test('the age is not known while the store does not respond', () => {
	const confirmation = new StateConfirmation();
	confirmation.record(1000);
	confirmation.setStoreLost(true);
	assert.is(confirmation.age(9000), undefined);
	confirmation.setStoreLost(false);
	assert.is(confirmation.age(9000), 8000);
});

test.run();
