import {type Milliseconds, createSeededRandom} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	AdmissionShares, OverloadController, chooseTargetDelay, defaultOverloadControllerOptions, spreadRetryAfter,
} from '../src/index.js';

const test = suite('overload controller');

const measurementInterval: Milliseconds = 50;
const clientPatience: Milliseconds = 500;
const targetDelay = chooseTargetDelay([200, 400]);

/** Processor time of one request: when it is read, and for each of the pieces of its response, which come at intervals. */
const costs = {
	read: 4, piece: 2, pieces: 8, pieceInterval: 40, rejection: 0.5,
} as const;

type Task = {readonly at: Milliseconds; readonly run: (now: Milliseconds) => Milliseconds};

/**
 * Runs the event loop of a host: what is ready at the start of a turn is processed in it, then a due timer runs.
 *
 * @param ratePerSecond - The requests that clients send, by time.
 * @param controller - Limits the requests; `undefined` for a host without a guard.
 * @returns The requests whose response was complete before their client gave up, by the second in which they were sent.
 */
function serve(ratePerSecond: (now: Milliseconds) => number, duration: Milliseconds, controller: OverloadController | undefined): number[] {
	const served = Array.from({length: duration / 1000}, () => 0);
	const tasks: Task[] = [];
	let finishedRequests = 0;
	const sendPiece = (sentAt: Milliseconds, number: number, dueAt: Milliseconds): void => {
		tasks.push({
			at: dueAt,
			run(now) {
				if (now - sentAt > clientPatience) {
					return costs.rejection;
				}

				if (number < costs.pieces) {
					sendPiece(sentAt, number + 1, dueAt + costs.pieceInterval);
				} else {
					finishedRequests++;
					if (now - sentAt <= clientPatience) {
						served[Math.floor(sentAt / 1000)]!++;
					}
				}

				return costs.piece;
			},
		});
	};

	for (let at = 0; at < duration; at += 1000 / ratePerSecond(at)) {
		tasks.push({
			at,
			run(now) {
				if (controller?.admit({rank: 0, workspace: ''}, now) === false) {
					return costs.rejection;
				}

				sendPiece(at, 1, now + costs.pieceInterval);
				return costs.read;
			},
		});
	}

	let now = 0;
	let measuredAt = 0;
	let busyTime = 0;
	while (now < duration) {
		const turnStartedAt = now;
		const ready = tasks.filter(task => task.at <= turnStartedAt).toSorted((left, right) => left.at - right.at);
		for (const task of ready) {
			tasks.splice(tasks.indexOf(task), 1);
			const cost = task.run(now);
			busyTime += cost;
			now += cost;
		}

		if (now - measuredAt >= measurementInterval) {
			controller?.recordMeasurement({
				delay: now - measuredAt - measurementInterval, targetDelay, finishedRequests, busyTime,
			}, now);
			measuredAt = now;
		}

		now += ready.length === 0 ? 1 : 0;
	}

	return served;
}

const burst = {start: 4000, end: 11_000, duration: 20_000} as const;
const usualRate = 40;
// 20 ms of processor time for each request: the host can do 50 a second.
const burstDemand = (now: Milliseconds) => now >= burst.start && now < burst.end ? usualRate * 6 : usualRate;

test('six times the usual demand for seven seconds: a host without a limit serves almost nobody', () => {
	const served = serve(burstDemand, burst.duration, undefined);
	assert.ok(served[1]! >= usualRate * 0.9);
	assert.ok(served.slice(5, 11).every(count => count < usualRate * 0.1), served.join(', '));
});

test('six times the usual demand for seven seconds: a host with a limit goes on serving, and is back within two seconds', () => {
	const served = serve(burstDemand, burst.duration, new OverloadController(defaultOverloadControllerOptions));
	for (let second = 7; second < 11; second++) {
		assert.ok(served[second]! >= usualRate * 0.5, `second ${second}: ${served.join(', ')}`);
	}

	for (let second = 13; second < 19; second++) {
		assert.ok(served[second]! >= usualRate * 0.9, `second ${second}: ${served.join(', ')}`);
	}
});

test('usual demand is not limited', () => {
	const controller = new OverloadController(defaultOverloadControllerOptions);
	const served = serve(() => usualRate, 10_000, controller);
	assert.is(controller.rate, undefined);
	assert.ok(served.slice(0, 9).every(count => count >= usualRate * 0.95), served.join(', '));
});

test('one pause of the event loop does not limit requests', () => {
	const controller = new OverloadController(defaultOverloadControllerOptions);
	controller.recordMeasurement({
		delay: 0, targetDelay, finishedRequests: 0, busyTime: 0,
	}, 0);
	controller.recordMeasurement({
		delay: 700, targetDelay, finishedRequests: 10, busyTime: 700,
	}, 750);
	controller.recordMeasurement({
		delay: 0, targetDelay, finishedRequests: 12, busyTime: 710,
	}, 800);
	assert.is(controller.rate, undefined);
	assert.ok(controller.admit({rank: 0, workspace: ''}, 800));
});

// Updates ten times a second; each workspace sends requests at a constant rate.
function admittedShares(demand: ReadonlyArray<{readonly rank: number; readonly workspace: string; readonly perUpdate: number}>, rate: number): number[] {
	const shares = new AdmissionShares();
	const admitted = demand.map(() => 0);
	const updates = 100;
	for (let update = 0; update < updates; update++) {
		for (const [index, {rank, workspace, perUpdate}] of demand.entries()) {
			for (let count = 0; count < perUpdate; count++) {
				const isAdmitted = shares.admit(rank, workspace);
				if (isAdmitted && update >= updates / 2) {
					admitted[index]!++;
				}
			}
		}

		shares.update(10, rate);
	}

	return admitted.map((count, index) => count / (demand[index]!.perUpdate * updates / 2));
}

test('three times the possible demand: urgent requests come first, and those of the last rank still get some', () => {
	const [urgent, usual, last] = admittedShares([
		{rank: 0, workspace: 'a', perUpdate: 5}, {rank: 1, workspace: 'a', perUpdate: 10}, {rank: 2, workspace: 'a', perUpdate: 15},
	], 100);
	assert.ok(urgent! > usual! && usual! > last!, `${urgent}, ${usual}, ${last}`);
	assert.ok(last! >= 1 / 8, `${last}`);
	assert.ok(Math.abs((5 * urgent!) + (10 * usual!) + (15 * last!) - 10) < 1, `${urgent}, ${usual}, ${last}`);
});

test('one workspace sends eight times as much as the others: these are served before it', () => {
	const [small, other, large] = admittedShares([
		{rank: 0, workspace: 'small', perUpdate: 2}, {rank: 0, workspace: 'other', perUpdate: 2}, {rank: 0, workspace: 'large', perUpdate: 16},
	], 100);
	assert.ok(small! > 0.95 && other! > 0.95, `${small}, ${other}`);
	assert.ok(Math.abs(large! - (6 / 16)) < 0.05, `${large}`);
});

test('rejected clients return at different times, within what they follow', () => {
	const random = createSeededRandom(1);
	const times = Array.from({length: 100}, () => spreadRetryAfter(900, random));
	assert.ok(times.every(time => time > 100 && time <= 300));
	assert.ok(new Set(times.map(time => Math.round(time / 10))).size >= 10);
	assert.is(spreadRetryAfter(-5, random), 0);
});

test.run();
