import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RestoredStoreSimulation, leaseTiming, simulateTimers} from './restored-store-simulation.js';

const test = suite('Hosts and a store that is restored at any time');
const seed = 4741;
const runs = 150;

const step = fc.record({
	action: fc.constantFrom('wait', 'copy', 'restore', 'suspend', 'restart', 'crash'),
	host: fc.nat({max: 2}),
	duration: fc.nat({max: 4000}),
	pause: fc.nat({max: 2500}),
});

simulateTimers();

test('the orders of two holders keep the handover gap, whatever is restored, suspended, restarted or crashes', async () => {
	let orders = 0;
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 3, maxLength: 14}), fc.nat(), async (steps, randomSeed) => {
		const simulation = new RestoredStoreSimulation(randomSeed, 3);
		// From before the first term.
		let copy = simulation.copy();
		await simulation.run(1500);
		for (const {action, host, duration, pause} of steps) {
			const target = simulation.hosts[host]!;
			switch (action) {
				case 'copy': {
					copy = simulation.copy();
					break;
				}

				case 'restore': {
					simulation.restore(copy);
					break;
				}

				case 'suspend': {
					target.suspend(duration);
					break;
				}

				case 'restart': {
					void target.restart();
					break;
				}

				case 'crash': {
					target.start();
					break;
				}

				case 'wait': {
					break;
				}
			}

			await simulation.run(pause);
		}

		await simulation.run(8000);
		orders += simulation.orders.length;
		const inOrder = simulation.orders.toSorted((left, right) => left.arrival - right.arrival);
		for (const [index, order] of inOrder.entries()) {
			const previous = inOrder[index - 1];
			if (previous !== undefined && previous.holder !== order.holder) {
				const gap = order.arrival - previous.arrival;
				assert.ok(gap >= leaseTiming.handoverGap, `${order.holder} gave an order ${gap} ms after ${previous.holder}, at ${order.arrival}`);
			}
		}
	}), {seed, numRuns: runs});
	assert.ok(orders > runs);
});

test.run();
