import {type Ticket, majorityOf} from '@lacewingpoint/coordination';
import {keyPrefixes} from '@lacewingpoint/platform';
import {KeyValueTable, MemoryKeyValueService} from '@lacewingpoint/stand-ins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type HoldAnswer, exitCodes, readAudit, readTicket, submitTicket,
} from '../src/index.js';

const test = suite('Submission of tickets');

const hosts = ['h0', 'h1', 'h2'].map(id => ({
	id, failureDomain: 'd', callersAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:2', operatorsAddress: '127.0.0.1:3',
}));

const ticketOf = (number: number, tokensPerSecond: number, author = 'ana'): Ticket => ({
	number, author, objects: [{kind: 'workspace', name: 'w', state: {tokensPerSecond, burstTokens: 10, weight: 1}}],
});

// A scene with a store and hosts that answer as a test says.
class Scene {
	readonly store = new MemoryKeyValueService(new KeyValueTable(() => this.#now));
	readonly answers = new Map<string, () => HoldAnswer | undefined>();
	#now = 0;

	async prepare(): Promise<this> {
		await this.store.compareAndSwap([{key: keyPrefixes.epoch, value: JSON.stringify({number: 1, hosts}), expected: 0}]);
		for (const host of hosts) {
			this.answers.set(host.id, () => ({holds: true, ready: true, incarnation: 1}));
		}

		return this;
	}

	async submit(ticket: Ticket) {
		return submitTicket({
			store: this.store,
			hosts,
			ask: async host => this.answers.get(host.id)!(),
			patience: 1000,
			now: () => this.#now,
			wall: () => new Date(0),
			pause: async time => {
				this.#now += time;
			},
		}, ticket);
	}

	async outcomes(): Promise<string[]> {
		const records = await readAudit(this.store);
		return records.unwrapOr([]).map(record => record.outcome);
	}
}

test('a ticket that every host holds is in force everywhere, and the trail says so', async () => {
	const scene = await new Scene().prepare();
	const report = await scene.submit(ticketOf(1, 5));
	assert.equal([report.outcome, report.exitCode], ['in-force-everywhere', exitCodes.done]);
	assert.equal((await scene.outcomes()).toSorted(), ['in force at all 3 hosts', 'stored']);
});

test('of two operators with one number the second is refused by name, and repeating the first is harmless', async () => {
	const scene = await new Scene().prepare();
	await scene.submit(ticketOf(1, 5, 'ana'));
	const second = await scene.submit(ticketOf(1, 6, 'luis'));
	assert.equal([second.outcome, second.exitCode], ['refused', exitCodes.refused]);
	assert.match(second.message, 'ana');
	const repeated = await scene.submit(ticketOf(1, 5, 'ana'));
	assert.is(repeated.outcome, 'in-force-everywhere');
});

test('a write that took effect while its answer was lost is found by reading back', async () => {
	const scene = await new Scene().prepare();
	scene.store.faults.lostWriteAnswers = 1;
	const report = await scene.submit(ticketOf(1, 5));
	assert.is(report.outcome, 'in-force-everywhere');
});

test('with the store out the outcome is called unknown', async () => {
	const scene = await new Scene().prepare();
	scene.store.faults.isDown = true;
	const report = await scene.submit(ticketOf(1, 5));
	assert.equal([report.outcome, report.exitCode], ['unknown', exitCodes.storeUnavailable]);
});

test('stored is not accepted while a majority does not hold it', async () => {
	const scene = await new Scene().prepare();
	for (const host of hosts.slice(0, majorityOf(hosts.length))) {
		scene.answers.set(host.id, () => undefined);
	}

	const report = await scene.submit(ticketOf(1, 5));
	assert.equal([report.outcome, report.exitCode, report.missing], ['stored', exitCodes.storedNotAccepted, ['h0', 'h1']]);
});

test('a host that restarts between the two rounds of questions does not count', async () => {
	const scene = await new Scene().prepare();
	let incarnation = 0;
	scene.answers.set('h0', () => ({holds: true, ready: true, incarnation: incarnation++}));
	scene.answers.set('h1', () => ({holds: true, ready: false, incarnation: 1}));
	const report = await scene.submit(ticketOf(1, 5));
	assert.equal([report.outcome, report.inForce], ['stored', ['h2']]);
});

test('a ticket over one mebibyte is refused before anything is stored', async () => {
	const scene = await new Scene().prepare();
	const objects = Array.from({length: 12_000}, (_, index) => ({
		kind: 'key' as const, name: `key-${index}`, state: {sha256: 'a'.repeat(64), workspace: 'w'},
	}));
	const report = await scene.submit({number: 1, author: 'ana', objects});
	assert.is(report.exitCode, exitCodes.badInput);
});

test('a fault in a ticket is told with its line and column', () => {
	const line = '  "objects": [{"kind": "workspace", "name": "w", "state": {"tokensPerSecond": "many", "burstTokens": 1}}]';
	const read = readTicket(`{\n  // first\n  "number": 1, "author": "ana",\n${line}\n}`);
	assert.ok(read.isErr);
	assert.match(JSON.stringify(read.isErr ? read.error : ''), `tokensPerSecond at line 4, column ${line.indexOf('"many"') + 1}: expected number, found`);
	const broken = readTicket('{"number": 1,,}');
	assert.match(JSON.stringify(broken.isErr ? broken.error : ''), /line 1, column 14/v);
});

test.run();
