import {readFile, writeFile} from 'node:fs/promises';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Register} from '../src/index.js';
import {FakeFleet, workspace} from './fake-fleet.js';

const test = suite('Golden session');
const goldenFile = new URL('golden/session.txt', import.meta.url);

// One session of five hosts, written down after every event: who may serve, what each holds, what each can spend.
class Session {
	readonly fleet = new FakeFleet(5);
	readonly lines: string[] = [];
	readonly cut = new Set<string>();
	isStoreDown = false;

	live(): string[] {
		return this.fleet.hosts.map(host => host.id).filter(id => !this.fleet.frozen.has(id));
	}

	// One second of the daemons' routine: read the store, exchange, maintain the membership.
	second(): void {
		this.fleet.advance(1000);
		for (const id of this.live()) {
			if (!this.isStoreDown && !this.cut.has(id)) {
				this.fleet.readStore(id);
				this.fleet.answerStoreRead(-1);
				this.fleet.deliverStoreRead(-1);
			}

			for (const to of this.live().filter(other => other !== id && this.cut.has(other) === this.cut.has(id))) {
				this.fleet.sendExchange(id, to);
				this.fleet.answerExchange(-1);
				this.fleet.deliverExchange(-1);
			}
		}

		for (const id of this.live().filter(host => !this.isStoreDown && !this.cut.has(host))) {
			this.fleet.maintainEpoch(id);
			this.fleet.askAcceptance(id);
			this.fleet.askAcceptance(id);
		}
	}

	seconds(count: number): void {
		for (let second = 0; second < count; second++) {
			this.second();
		}
	}

	note(event: string): void {
		const {fleet} = this;
		const {number, hosts, previousHosts} = fleet.storeEpoch;
		const members = `epoch ${number}${previousHosts === undefined ? '' : ' joint'} of ${hosts.map(host => host.id).join(' ')}`;
		this.lines.push(`${fleet.now} ${event}: ${members}; accepted ${fleet.accepted.length}`);
		for (const host of fleet.hosts) {
			const credit = Math.floor(host.credit.available(workspace, fleet.now));
			this.lines.push(`  ${host.id} ${host.contact.state(fleet.now)} highest ticket ${host.tickets.highestNumber} credit ${credit}`);
		}
	}
}

const key = (number: number): Register => ({
	kind: 'key', name: 'k', number, state: null,
});

function play(): string {
	const session = new Session();
	const {fleet} = session;
	session.seconds(3);
	session.note('started');
	fleet.submit([key(1)]);
	session.seconds(1);
	session.note('ticket 1');
	session.cut.add('h3').add('h4');
	fleet.submit([key(2)]);
	session.seconds(4);
	session.note('h3 and h4 cut off, ticket 2');
	session.seconds(12);
	session.note('they have left the epoch');
	session.cut.clear();
	session.seconds(8);
	session.note('they are back');
	session.isStoreDown = true;
	session.seconds(5);
	session.note('store out');
	fleet.restart('h0');
	session.note('h0 restarted');
	session.seconds(2);
	session.note('h0 has caught up from the others');
	fleet.frozen.add('h1');
	session.seconds(5);
	session.note('h1 frozen');
	for (const id of ['h0', 'h2', 'h3', 'h4']) {
		fleet.restart(id);
	}

	session.seconds(3);
	session.note('herd restart with the store out');
	session.isStoreDown = false;
	fleet.frozen.clear();
	session.seconds(3);
	session.note('store back');
	return `${session.lines.join('\n')}\n`;
}

test('the session goes as it is written down', async () => {
	const played = play();
	if (process.env.GOLDEN === 'write') {
		await writeFile(goldenFile, played);
	}

	assert.fixture(played, await readFile(goldenFile, 'utf8'));
});

test.run();
