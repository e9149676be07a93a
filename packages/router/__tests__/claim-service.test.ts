import type {KeyValueService} from '@lacewingpoint/platform';
import type {Peer} from '@lacewingpoint/peer';
import {silentLogger} from '@lacewingpoint/shared';
import {KeyValueTable, MemoryKeyValueService} from '@lacewingpoint/stand-ins';
import fc from 'fast-check';
import {Result} from 'true-myth';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ClaimService, ClaimStore} from '../src/index.js';

const test = suite('ClaimService');
const seed = 4718;
const bodyHash = 'hash';

type Attempt = {
	readonly host: number;
	/** What happens to the attempt's host between claim and answer. */
	readonly fate: 'answers' | 'dies-before-dispatch' | 'dies-after-dispatch' | 'declined';
};

const attempt: fc.Arbitrary<Attempt> = fc.record({
	host: fc.nat({max: 1}),
	fate: fc.constantFrom('answers' as const, 'answers' as const, 'dies-before-dispatch' as const, 'dies-after-dispatch' as const, 'declined' as const),
});

// Two hosts before one store; the scheduler decides in which order the store's calls and the peers' answers come about.
class Scene {
	runs = 0;
	readonly refusedAsNotRun: number[] = [];
	readonly ranBy = new Set<number>();
	readonly #scheduler: fc.Scheduler;
	readonly #table = new KeyValueTable(() => 0);
	readonly #services: ClaimService[] = [];
	#incarnation = 0;
	#nextId = 0;
	#swaps = 0;

	constructor(scheduler: fc.Scheduler) {
		this.#scheduler = scheduler;
		for (const host of [0, 1]) {
			this.restart(host);
		}
	}

	restart(host: number): void {
		this.#incarnation++;
		this.#services[host] = this.#service(host, new MemoryKeyValueService(this.#table));
	}

	async attempt(current: Attempt): Promise<void> {
		const id = this.#nextId++;
		const service = this.#services[current.host]!;
		const claimed = await service.claim('w', 'key', bodyHash, `claim-${id}`);
		if (claimed.isErr) {
			this.#noteRefusal(id, claimed.error.run);
			return;
		}

		if (claimed.value.type === 'replay' || current.fate === 'dies-before-dispatch') {
			this.#dieIf(current);
			return;
		}

		const {held} = claimed.value;
		if (current.fate === 'declined') {
			const isMarked = await service.release(held);
			this.#noteRefusal(id, isMarked ? 'not-run' : 'unknown');
			return;
		}

		service.noteDispatched(held);
		this.runs++;
		this.ranBy.add(id);
		if (current.fate === 'answers') {
			await service.keep(held, {status: 201, contentType: 'text/plain', bodyBase64: ''});
		}

		this.#dieIf(current);
	}

	#noteRefusal(id: number, run: 'not-run' | 'unknown'): void {
		if (run === 'not-run') {
			this.refusedAsNotRun.push(id);
		}
	}

	#dieIf({host, fate}: Attempt): void {
		if (fate.startsWith('dies')) {
			this.restart(host);
		}
	}

	#service(host: number, store: MemoryKeyValueService): ClaimService {
		const scheduled: KeyValueService = {
			list: this.#scheduler.scheduleFunction(async (prefix: string) => store.list(prefix)),
			compareAndSwap: this.#scheduler.scheduleFunction(async (writes: Parameters<KeyValueService['compareAndSwap']>[0]) => this.#swap(store, writes)),
		} as unknown as KeyValueService;
		const links = {peer: (id: string) => this.#peer(id)};
		return new ClaimService(new ClaimStore(scheduled), links, silentLogger, {claimer: `${host}/${this.#incarnation}`, keepPause: 0, keepAttempts: 3});
	}

	// Every third write loses its answer, whatever it did, and every seventh call meets an outage.
	async #swap(store: MemoryKeyValueService, writes: Parameters<KeyValueService['compareAndSwap']>[0]) {
		this.#swaps++;
		store.faults.lostWriteAnswers = this.#swaps % 3 === 0 ? 1 : 0;
		store.faults.isDown = this.#swaps % 7 === 0;
		return store.compareAndSwap(writes);
	}

	#peer(id: string): Peer {
		const claimOutcome = this.#scheduler.scheduleFunction(async ({claimId}: {readonly claimId: string}) => Result.ok({outcome: this.#services[Number(id)]!.outcomeOf(claimId)}));
		return {claimOutcome} as unknown as Peer;
	}
}

test('a key runs at most once and every not-run is true, however calls interleave, answers are lost and hosts die', async () => {
	await fc.assert(fc.asyncProperty(fc.scheduler(), fc.array(attempt, {minLength: 2, maxLength: 6}), async (scheduler, attempts) => {
		const scene = new Scene(scheduler);
		const running = Promise.all(attempts.map(async current => scene.attempt(current)));
		await scheduler.waitFor(running);
		assert.ok(scene.runs <= 1, `ran ${scene.runs} times`);
		for (const id of scene.refusedAsNotRun) {
			assert.not(scene.ranBy.has(id));
		}
	}), {seed, numRuns: 400});
});

test('claims that arrive while a write is under way go out together in one call', async () => {
	const table = new KeyValueTable(() => 0);
	const store = new ClaimStore(new MemoryKeyValueService(table));
	const claim = (id: string) => ({
		claimId: id, claimer: 'h/1', bodyHash, state: 'claimed' as const,
	});
	const results = await Promise.all(Array.from({length: 50}, async (_, index) => store.write(`claims/${index}`, claim(String(index)), 0)));
	assert.ok(results.every(result => result.isOk && result.value.type === 'written'));
	assert.is(table.writes, 2);
});

test('one claim that meets another does not take its group down', async () => {
	const table = new KeyValueTable(() => 0);
	const store = new ClaimStore(new MemoryKeyValueService(table));
	const claim = (id: string) => ({
		claimId: id, claimer: 'h/1', bodyHash, state: 'claimed' as const,
	});
	await store.write('claims/1', claim('first'), 0);
	const results = await Promise.all([0, 1, 2].map(async index => store.write(`claims/${index}`, claim('second'), 0)));
	assert.equal(results.map(result => (result.isOk ? result.value.type : 'error')), ['written', 'found', 'written']);
});

test.run();
