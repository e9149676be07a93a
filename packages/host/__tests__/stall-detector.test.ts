import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {StallDetector} from '../src/requests/stall-detector.js';

const test = suite('StallDetector');

const pause = async (time: number) => new Promise(resolve => {
	setTimeout(resolve, time);
});

test('a stream stalls some time after its last event, and no more once the detector is stopped', async () => {
	const stalls: Array<[number, boolean]> = [];
	const detector = new StallDetector((duration, isFinal) => {
		stalls.push([duration, isFinal]);
	});
	detector.awaitFirstByte(100_000, 0);
	for (let event = 0; event < 4; event++) {
		detector.awaitNextEvent();
		await pause(400);
	}

	assert.equal(stalls, []);
	await pause(1000);
	assert.equal(stalls, [[1200, true]]);
	detector.awaitNextEvent();
	detector.stop();
	await pause(1300);
	assert.is(stalls.length, 1);
});

test.run();
