import type {SuspectCrash} from '@lacewingpoint/routing';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CrashLog} from '../src/index.js';

const test = suite('CrashLog');
const seed = 5101;

const createCrash = (fingerprint: number): SuspectCrash => ({
	fingerprint, parts: [], server: 'i-1', incarnation: '1', failureDomain: 'a', age: 0,
});

test('reports each crash once within three seconds, whatever the order and the sources', () => {
	const report = fc.record({pause: fc.nat({max: 1500}), fingerprints: fc.uniqueArray(fc.nat({max: 12})), source: fc.constantFrom('a', 'b')});
	fc.assert(fc.property(fc.array(report), reports => {
		const log = new CrashLog();
		const recordedAt = new Map<number, number>();
		const isKnown = (fingerprint: number, now: number) => now - (recordedAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < 3000;
		let time = 0;
		for (const {pause, fingerprints, source} of reports) {
			time += pause;
			const now = time;
			const expected = fingerprints.filter(fingerprint => !isKnown(fingerprint, now));
			for (const fingerprint of expected) {
				recordedAt.set(fingerprint, now);
			}

			const added = log.add(fingerprints.map(fingerprint => createCrash(fingerprint)), source, now);
			assert.equal(added.map(({crash}) => crash.fingerprint), expected);
			const repeated = log.listRepeated(() => true, now).map(({fingerprint}) => fingerprint);
			assert.equal(new Set(repeated), new Set([...recordedAt.keys()].filter(fingerprint => isKnown(fingerprint, now))));
			assert.is(new Set(repeated).size, repeated.length);
		}
	}), {seed});
});

test('remembers a bounded number of crashes, the latest ones', () => {
	const log = new CrashLog();
	for (let fingerprint = 0; fingerprint < 5000; fingerprint++) {
		log.add([createCrash(fingerprint)], 'a', 0);
	}

	assert.is(log.add([createCrash(4999)], 'a', 0).length, 0);
	assert.is(log.add([createCrash(0)], 'a', 0).length, 1);
	assert.is(log.listRepeated(() => true, 0).at(-1)?.fingerprint, 0);
});

console.log(`seed ${seed}`);
test.run();
