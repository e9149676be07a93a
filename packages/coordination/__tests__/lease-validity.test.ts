import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	LeaseValidity, createLeaseTiming, computeHandoverDelay,
} from '../src/index.js';

const test = suite('turns of the holders of a lease');
const seed = 4730;
const bounds = createLeaseTiming(3000, 1000, 400);
const at = (time: number) => ({steady: time, wall: time});

test('a holder acts while its renewal is fresh, and not before its turn', () => {
	const turn = new LeaseValidity(bounds, at(0), 500);
	assert.not.ok(turn.allowsOperation(at(499)));
	assert.ok(turn.allowsOperation(at(500)));
	assert.not.ok(turn.allowsOperation(at(bounds.validityWindow)));
	turn.recordRenewal(at(900));
	assert.ok(turn.allowsOperation(at(1800)));
	assert.not.ok(turn.isExpired(at(2900)));
	assert.ok(turn.isExpired(at(2901)));
});

// The steady clock does not count the time of a suspension.
test('a holder that was suspended acts only after a new renewal', () => {
	const turn = new LeaseValidity(bounds, at(0), 0);
	const awake = {steady: 100, wall: 6100};
	assert.not.ok(turn.allowsOperation(awake));
	turn.recordRenewal(awake);
	assert.ok(turn.allowsOperation({steady: 200, wall: 6200}));
});

test('a lease that was given back is taken over as soon as the gap since its last act allows', () => {
	assert.is(computeHandoverDelay(bounds, 3000), 300);
	assert.is(computeHandoverDelay(bounds, 0), 3300);
	assert.ok(computeHandoverDelay(bounds, undefined) < computeHandoverDelay(bounds, 0));
});

type Holder = {
	/** When renewals are sent, how long each takes to the store, and whether its answer comes back. */
	readonly renewals: ReadonlyArray<{readonly pause: number; readonly way: number; readonly isAnswered: boolean}>;
	/** Moments at which the holder looks whether it may act, and how long an act then takes. */
	readonly looks: ReadonlyArray<{readonly time: number; readonly way: number}>;
	/** A suspension: it begins at a moment and lasts, while the steady clock stands still. */
	readonly suspension: {readonly from: number; readonly length: number};
	readonly takeOverDelay: number;
};

const holder: fc.Arbitrary<Holder> = fc.record({
	renewals: fc.array(fc.record({pause: fc.nat({max: 900}), way: fc.nat({max: 300}), isAnswered: fc.boolean()}), {maxLength: 8}),
	looks: fc.array(fc.record({time: fc.nat({max: 12_000}), way: fc.nat({max: 400})}), {maxLength: 60}),
	suspension: fc.record({from: fc.nat({max: 6000}), length: fc.nat({max: 8000})}),
	takeOverDelay: fc.nat({max: 1000}),
});

// Real time runs on; the holder's steady clock leaves out its suspension, its time of day does not.
test('acts of two holders are never closer than the gap, whatever becomes of renewals, suspensions and the way of acts', () => {
	fc.assert(fc.property(holder, ({renewals, looks, suspension, takeOverDelay}) => {
		const steadyAt = (time: number) => time - Math.min(Math.max(time - suspension.from, 0), suspension.length);
		const isSuspended = (time: number) => time > suspension.from && time < suspension.from + suspension.length;
		const turn = new LeaseValidity(bounds, at(0), 0);
		let endsAt = bounds.timeToLive;
		let time = 0;
		const heard: Array<{readonly at: number; readonly sentAt: number}> = [];
		for (const renewal of renewals) {
			time += renewal.pause;
			const arrival = time + renewal.way;
			// A suspended machine sends nothing, and a lease that has ended is not renewed.
			if (!isSuspended(time) && arrival < endsAt) {
				endsAt = arrival + bounds.timeToLive;
				if (renewal.isAnswered) {
					heard.push({at: arrival + renewal.way, sentAt: time});
				}
			}
		}

		const acts: number[] = [];
		const inOrder = looks.toSorted((left, right) => left.time - right.time);
		for (const look of inOrder.filter(candidate => !isSuspended(candidate.time))) {
			while (heard.length > 0 && heard[0]!.at <= look.time) {
				const {sentAt} = heard.shift()!;
				turn.recordRenewal({steady: steadyAt(sentAt), wall: sentAt});
			}

			if (turn.allowsOperation({steady: steadyAt(look.time), wall: look.time})) {
				acts.push(look.time + look.way);
			}
		}

		const nextActsFrom = endsAt + takeOverDelay + computeHandoverDelay(bounds, undefined);
		return acts.every(act => act + bounds.handoverGap <= nextActsFrom);
	}), {seed, numRuns: 20_000});
});

test.run();
