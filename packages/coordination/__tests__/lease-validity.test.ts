import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	LeaseValidity, createLeaseTiming, computeHandoverDelay,
} from '../src/index.js';

const test = suite('LeaseValidity');
const seed = 4730;
const timing = createLeaseTiming(3000, 1000, 400);
const at = (time: number) => ({steady: time, wall: time});

test('operations are allowed from the start of the validity and while the last renewal is recent', () => {
	const validity = new LeaseValidity(timing, at(0), 500);
	assert.not.ok(validity.allowsOperation(at(499)));
	assert.ok(validity.allowsOperation(at(500)));
	assert.not.ok(validity.allowsOperation(at(timing.validityWindow)));
	validity.recordRenewal(at(900));
	assert.ok(validity.allowsOperation(at(1800)));
	assert.not.ok(validity.isExpired(at(2900)));
	assert.ok(validity.isExpired(at(2901)));
});

// The monotonic clock does not count the time of a suspension.
test('after a suspension operations are allowed only after a new renewal', () => {
	const validity = new LeaseValidity(timing, at(0), 0);
	const resumed = {steady: 100, wall: 6100};
	assert.not.ok(validity.allowsOperation(resumed));
	validity.recordRenewal(resumed);
	assert.ok(validity.allowsOperation({steady: 200, wall: 6200}));
});

test('after a release the next holder waits only for the rest of the handover gap', () => {
	assert.is(computeHandoverDelay(timing, 3000), 300);
	assert.is(computeHandoverDelay(timing, 0), 3300);
	assert.ok(computeHandoverDelay(timing, undefined) < computeHandoverDelay(timing, 0));
});

type Holder = {
	/** The pause before each renewal, its latency to the store, and whether the response arrives. */
	readonly renewals: ReadonlyArray<{readonly pause: number; readonly latency: number; readonly isAcknowledged: boolean}>;
	/** The times at which the holder checks whether an operation is allowed, and the latency of the operation. */
	readonly checks: ReadonlyArray<{readonly time: number; readonly latency: number}>;
	/** The suspension of the holder's machine, during which its monotonic clock stands still. */
	readonly suspension: {readonly from: number; readonly length: number};
	readonly takeoverDelay: number;
};

const holder: fc.Arbitrary<Holder> = fc.record({
	renewals: fc.array(fc.record({pause: fc.nat({max: 900}), latency: fc.nat({max: 300}), isAcknowledged: fc.boolean()}), {maxLength: 8}),
	checks: fc.array(fc.record({time: fc.nat({max: 12_000}), latency: fc.nat({max: 400})}), {maxLength: 60}),
	suspension: fc.record({from: fc.nat({max: 6000}), length: fc.nat({max: 8000})}),
	takeoverDelay: fc.nat({max: 1000}),
});

// During a suspension real time and the holder's wall clock run on; its monotonic clock does not.
test('operations of two holders keep the handover gap, whatever the latencies, lost renewals and suspensions', () => {
	fc.assert(fc.property(holder, ({renewals, checks, suspension, takeoverDelay}) => {
		const steadyAt = (time: number) => time - Math.min(Math.max(time - suspension.from, 0), suspension.length);
		const isSuspended = (time: number) => time > suspension.from && time < suspension.from + suspension.length;
		const validity = new LeaseValidity(timing, at(0), 0);
		let endsAt = timing.timeToLive;
		let time = 0;
		const acknowledged: Array<{readonly at: number; readonly sentAt: number}> = [];
		for (const renewal of renewals) {
			time += renewal.pause;
			const arrival = time + renewal.latency;
			// A suspended machine sends nothing, and an expired lease is not renewed.
			if (!isSuspended(time) && arrival < endsAt) {
				endsAt = arrival + timing.timeToLive;
				if (renewal.isAcknowledged) {
					acknowledged.push({at: arrival + renewal.latency, sentAt: time});
				}
			}
		}

		const operations: number[] = [];
		const inOrder = checks.toSorted((left, right) => left.time - right.time);
		for (const check of inOrder.filter(candidate => !isSuspended(candidate.time))) {
			while (acknowledged.length > 0 && acknowledged[0]!.at <= check.time) {
				const {sentAt} = acknowledged.shift()!;
				validity.recordRenewal({steady: steadyAt(sentAt), wall: sentAt});
			}

			if (validity.allowsOperation({steady: steadyAt(check.time), wall: check.time})) {
				operations.push(check.time + check.latency);
			}
		}

		const nextOperationsFrom = endsAt + takeoverDelay + computeHandoverDelay(timing, undefined);
		return operations.every(operation => operation + timing.handoverGap <= nextOperationsFrom);
	}), {seed, numRuns: 20_000});
});

test.run();
