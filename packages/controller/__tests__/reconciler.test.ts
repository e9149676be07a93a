import type {
	Engine, EngineState, LoadOrder,
} from '@lacewingpoint/backend';
import {ticketKey} from '@lacewingpoint/platform';
import {silentLogger} from '@lacewingpoint/shared';
import {KeyValueTable, MemoryKeyValueService} from '@lacewingpoint/stand-ins';
import {Result} from 'true-myth';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Reconciler} from '../src/index.js';

const test = suite('Reconciler');
const leaseTime = 5000;
const pauseMargin = 5000;

// An engine that loads at once and remembers every order it took.
class FakeEngine implements Pick<Engine, 'state' | 'load' | 'dispose'> {
	readonly taken: LoadOrder[] = [];
	/** Runs before an order arrives: the place where its sender is frozen. */
	beforeLoad: (() => Promise<void>) | undefined;
	readonly #checksFencing: boolean;
	#fencing = 0;
	#version = 'v1';

	constructor(checksFencing: boolean) {
		this.#checksFencing = checksFencing;
	}

	async state(): Promise<Result<EngineState, never>> {
		return Result.ok({
			incarnation: '1', weightsVersion: this.#version, queuedTokens: 0, runningRequests: 0, model: 'm', adapters: [], loading: false, leaving: false,
		});
	}

	async load(order: LoadOrder) {
		await this.beforeLoad?.();
		if (this.#checksFencing && order.fencing < this.#fencing) {
			return Result.err({layer: 'backend' as const, code: 'declined' as const, message: 'old fencing number'});
		}

		this.#fencing = order.fencing;
		this.#version = order.version;
		this.taken.push(order);
		return Result.ok(undefined);
	}

	async dispose(): Promise<void> {
		// Nothing is open.
	}

	get version(): string {
		return this.#version;
	}
}

class Scene {
	now = 0;
	readonly table = new KeyValueTable(() => this.now);
	readonly engine: FakeEngine;
	#number = 0;

	constructor(checksFencing: boolean) {
		this.engine = new FakeEngine(checksFencing);
		this.submit('v2', [{
			kind: 'backend', name: 'e', state: {
				type: 'engine', address: '127.0.0.1:1', failureDomain: 'x', model: 'm', checksFencing,
			},
		}]);
	}

	submit(version: string, more: readonly unknown[] = []): void {
		this.#number++;
		const objects = [{kind: 'model', name: 'm', state: {version, loadsAtOnce: 1}}, ...more];
		this.table.compareAndSwap([{key: ticketKey(this.#number), value: JSON.stringify({number: this.#number, author: 't', objects}), expected: 0}]);
	}

	controller(holder: string, store = new MemoryKeyValueService(this.table)): Reconciler {
		return new Reconciler({store}, () => this.now, silentLogger, {
			holder, leaseTime, pauseMargin, servingShare: 0.5, connect: () => this.engine as unknown as Engine,
		});
	}

	async rounds(controller: Reconciler, count: number): Promise<void> {
		for (let round = 0; round < count; round++) {
			await controller.round();
			this.now += 500;
		}
	}
}

test('one of several controllers orders, drains first and resumes after', async () => {
	const scene = new Scene(true);
	const first = scene.controller('a');
	const second = scene.controller('b');
	for (let round = 0; round < 8; round++) {
		await scene.rounds(first, 1);
		await scene.rounds(second, 1);
	}

	assert.is(scene.engine.taken.length, 1);
	assert.is(scene.engine.version, 'v2');
	const marks = scene.table.list('lacewingpoint/configuration/draining/').entries;
	assert.is((JSON.parse(marks[0]!.value) as {readonly state: unknown}).state, null);
});

test('a holder that freezes before its order arrives is fenced off by the number of the next', async () => {
	const scene = new Scene(true);
	const first = scene.controller('a');
	let wake: () => void = () => undefined;
	const arrived = new Promise<void>(resolveArrived => {
		scene.engine.beforeLoad = async () => new Promise(resolve => {
			wake = resolve;
			resolveArrived();
		});
	});
	await scene.rounds(first, 1);
	const frozen = scene.rounds(first, 1);
	await arrived;
	scene.engine.beforeLoad = undefined;
	scene.now += leaseTime + 1;
	scene.submit('v3');
	const second = scene.controller('b');
	await scene.rounds(second, 4);
	assert.is(scene.engine.version, 'v3');
	wake();
	await frozen;
	assert.is(scene.engine.version, 'v3');
});

test('an engine that ignores fencing gets no order until the earlier holder must have stopped', async () => {
	const scene = new Scene(false);
	const first = scene.controller('a');
	await scene.rounds(first, 3);
	assert.equal(scene.engine.taken, []);
	scene.now += leaseTime + 1;
	const second = scene.controller('b');
	await scene.rounds(second, 3);
	assert.equal(scene.engine.taken, [], 'the margin after the change of holder is not over');
	await scene.rounds(second, 12);
	assert.is(scene.engine.version, 'v2');
});

test('a controller that cannot reach the store stops ordering when its lease may have lapsed', async () => {
	const scene = new Scene(true);
	const store = new MemoryKeyValueService(scene.table);
	const controller = scene.controller('a', store);
	await scene.rounds(controller, 6);
	store.faults.isDown = true;
	scene.submit('v3');
	await scene.rounds(controller, 20);
	assert.is(scene.engine.version, 'v2');
	store.faults.isDown = false;
	await scene.rounds(controller, 20);
	assert.is(scene.engine.version, 'v3');
});

test('a lease taken with its answer lost is given up again and does not block the next', async () => {
	const scene = new Scene(true);
	const store = new MemoryKeyValueService(scene.table);
	store.faults.lostWriteAnswers = 1;
	await scene.rounds(scene.controller('a', store), 1);
	await scene.rounds(scene.controller('b'), 6);
	assert.is(scene.engine.version, 'v2');
});

test.run();
