import * as fastCheck from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServerLinks, selectForwardingHost} from '../src/index.js';

const test = suite('links to servers');

const options = {detachThreshold: 3, failureLifetime: 2000};
const knownServers = 12;

test('a host is detached once several servers have failed without any response in between, until one responds', () => {
	const links = new ServerLinks(options);
	assert.not(links.recordFailure('a', knownServers, 0));
	assert.not(links.recordFailure('a', knownServers, 100), 'one server that fails twice may have crashed');
	assert.not(links.recordFailure('b', knownServers, 200));
	assert.ok(links.recordFailure('c', knownServers, 300));
	assert.ok(links.isDetached);
	assert.not(links.recordFailure('d', knownServers, 400), 'detached already');
	assert.ok(links.recordReached());
	assert.not(links.isDetached);
	assert.not(links.recordReached());
});

test('a host that reaches some servers is not detached, however many others fail', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.integer({min: 0, max: 30}), {maxLength: 60}), servers => {
		const links = new ServerLinks(options);
		for (const [index, server] of servers.entries()) {
			links.recordFailure(`s${server}`, knownServers, index * 50);
			if (index % 2 === 1) {
				links.recordReached();
			}

			assert.not(links.isDetached);
		}
	}));
});

test('failures long ago do not count', () => {
	const links = new ServerLinks(options);
	for (const [index, server] of ['a', 'b', 'c', 'd'].entries()) {
		const isDetached = links.recordFailure(server, knownServers, index * 1500);
		assert.not(isDetached);
	}
});

test('a host that knows fewer servers than the threshold is detached once all have failed', () => {
	const links = new ServerLinks(options);
	assert.not(links.recordFailure('a', 2, 0));
	assert.ok(links.recordFailure('b', 2, 10));
});

// Six of nine hosts lose their links at once, and each forwards its requests without knowing of the others' choices.
test('hosts that forward at the same time spread their requests over the peers in their region', () => {
	const peers = [...['p', 'q', 'r'].map(name => ({name, region: 'here'})), {name: 'far', region: 'there'}];
	const received = new Map<string, number>();
	const random = {next: createSequence()};
	for (let host = 0; host < 6; host++) {
		const running = new Map<string, number>();
		for (let request = 0; request < 50; request++) {
			const {name} = selectForwardingHost(peers, {region: 'here', random, runningRequests: peer => running.get(peer) ?? 0})!;
			running.set(name, (running.get(name) ?? 0) + 1);
			received.set(name, (received.get(name) ?? 0) + 1);
		}
	}

	assert.is(received.get('far'), undefined);
	assert.ok(Math.max(...received.values()) < 1.2 * Math.min(...received.values()), JSON.stringify([...received]));
});

test('a host without peers in its region forwards to other regions, and to none without peers', () => {
	const choice = {region: 'here', random: {next: () => 0.5}, runningRequests: () => 0};
	const peers = [{name: 'far', region: 'there'}];
	assert.is(selectForwardingHost(peers, choice)?.name, 'far');
	const noPeers: typeof peers = [];
	assert.is(selectForwardingHost(noPeers, choice), undefined);
});

/** Evenly spread numbers from 0 inclusive to 1 exclusive. */
function createSequence(): () => number {
	let value = 0;
	return () => {
		value = (value + 0.618_033_988_75) % 1;
		return value;
	};
}

test.run();
