import {rm, writeFile} from 'node:fs/promises';
import {setTimeout as pause} from 'node:timers/promises';
import {
	LoopbackProxy, type RequestHandler, formatResponseHead, streamCompletion,
} from '@lacewingpoint/stand-ins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Agent, request} from 'undici';
import {LocalCluster, buildRevision, currentBuildDirectory} from '../src/index.js';

const test = suite('fleets of two builds');

/** The build before this one, beside which it has to serve while hosts are replaced. */
const previousBuild = '0131142658776544f42b1d1fe93d7592e9a84885';

/** A build whose hosts refuse the calls of peers that forward requests. */
const buildWithoutForwarding = '35c4dc2858855c40d3e15e6b1cddb619442bf386';

const hostCount = 6;

/** From this time after links were lost, clients must be served again. */
const detectionTime = 3000;

const respondSlowly: RequestHandler = (received, socket, server) => {
	server.executedRequests.push(received);
	setTimeout(() => {
		socket.write(`${formatResponseHead(received, ['Content-Length: 5'])}hello`);
	}, 20);
};

type Outcome = {readonly at: number; readonly host: string; readonly kind: 'plain' | 'stream'; readonly isServed: boolean; readonly status: number};

class MixedFleet {
	readonly proxies: LoopbackProxy[] = [];
	readonly cluster: LocalCluster;
	readonly outcomes: Outcome[] = [];
	/** Names of the hosts that clients have been told not to use. */
	readonly replacedHosts = new Set<string>();
	readonly #agent = new Agent();
	readonly #pending = new Set<Promise<void>>();
	#nextRequest = 0;

	constructor(buildDirectories: readonly string[]) {
		this.cluster = new LocalCluster({
			hostCount,
			buildDirectories,
			plainHandlers: Array.from({length: 4}, () => respondSlowly),
			modelHandlers: Array.from({length: 4}, () => streamCompletion(5, 20)),
			interpose: async (link, address) => {
				if (!link.startsWith('server')) {
					return address;
				}

				const proxy = new LoopbackProxy(address);
				await proxy.start();
				this.proxies.push(proxy);
				return proxy.address;
			},
		});
	}

	/** Resets the connections of some hosts to all servers, and has new ones refused. */
	async cut(hostIndexes: readonly number[]): Promise<void> {
		const hosts = hostIndexes.map(index => this.cluster.hosts[index]!);
		await Promise.all(hosts.map(async ({refusedPortsFile}) => writeFile(refusedPortsFile, this.proxies.map(({address}) => address.split(':')[1]).join(' '))));
		for (const proxy of this.proxies) {
			proxy.affectedAddresses = new Set(hosts.map(({ipAddress}) => ipAddress));
			proxy.resetConnections();
		}
	}

	async heal(): Promise<void> {
		await Promise.all(this.cluster.hosts.map(async ({refusedPortsFile}) => rm(refusedPortsFile, {force: true})));
	}

	/** Sends requests of several kinds to the hosts that are not being replaced, one each 15 ms. */
	async sendTraffic(duration: number): Promise<void> {
		const endsAt = performance.now() + duration;
		while (performance.now() < endsAt) {
			const index = this.#nextRequest++;
			const host = this.cluster.hosts[index % hostCount]!;
			if (!this.replacedHosts.has(host.name)) {
				const sending = this.#send(index, host.name, host.clientAddress);
				this.#pending.add(sending);
				void sending.finally(() => this.#pending.delete(sending));
			}

			await pause(15);
		}

		await Promise.all(this.#pending);
	}

	async dispose(): Promise<void> {
		await this.#agent.destroy();
		await this.cluster.dispose();
		for (const proxy of this.proxies) {
			proxy.dispose();
		}
	}

	async #send(index: number, host: string, address: string): Promise<void> {
		const [route, method] = ([['look', 'GET'], ['book', 'POST'], ['check', 'POST'], ['draft', 'POST']] as const)[Math.floor(index / hostCount) % 4]!;
		const isGeneration = route === 'check' || route === 'draft';
		const at = performance.now();
		const kind = isGeneration ? 'stream' : 'plain';
		try {
			const response = await request(`http://${address}/${route}/${index}`, {
				dispatcher: this.#agent,
				method,
				signal: AbortSignal.timeout(4000),
				headers: {
					host: 'h.example', 'attempt-id': `mixed-${index}`, 'api-key': 'red-key', 'deadline-ms': '2500',
					...(isGeneration ? {model: 'm', 'token-count': '60,10', 'prompt-prefix': `aa:20,b${index % 3}:20,${(index + 4096).toString(16)}:10`} : {}),
				},
			});
			await response.body.text();
			this.outcomes.push({
				at, host, kind, isServed: response.statusCode === 200, status: response.statusCode,
			});
		} catch {
			// A connection that was closed or a response that was broken off: not served.
			this.outcomes.push({
				at, host, kind, isServed: false, status: 0,
			});
		}
	}
}

async function withFleet(buildDirectories: readonly string[], check: (fleet: MixedFleet) => Promise<void>): Promise<void> {
	const fleet = new MixedFleet(buildDirectories);
	try {
		await fleet.cluster.start();
		await fleet.sendTraffic(1000);
		await check(fleet);
		const executed = fleet.cluster.servers.flatMap(({executedRequests}) => executedRequests).map(({target}) => target).filter(target => /^\/(?:book|draft)\//v.test(target));
		assert.is(new Set(executed).size, executed.length, 'no request that must not be repeated was executed twice');
	} finally {
		await fleet.dispose();
	}
}

function describeShare(outcomes: readonly Outcome[]): {readonly share: number; readonly text: string} {
	const served = outcomes.filter(({isServed}) => isServed).length;
	const statuses = new Map<string, number>();
	for (const {kind, status} of outcomes) {
		const key = `${kind} ${status}`;
		statuses.set(key, (statuses.get(key) ?? 0) + 1);
	}

	return {share: served / outcomes.length, text: `${served} of ${outcomes.length} served: ${[...statuses].map(([key, count]) => `${key} x ${count}`).join(', ')}`};
}

const previousThenCurrent = (previous: string) => Array.from({length: hostCount}, (_, index) => index < hostCount / 2 ? previous : currentBuildDirectory);

/** Checks that the callers of the last host, which has lost its links, are served nearly as often as those of the others. */
async function checkServedThroughPeers(fleet: MixedFleet, cutAt: number): Promise<void> {
	const {name} = fleet.cluster.hosts[hostCount - 1]!;
	await fleet.sendTraffic(6000);
	const late = fleet.outcomes.filter(({at}) => at - cutAt > detectionTime);
	const affected = describeShare(late.filter(({host}) => host === name));
	const others = describeShare(late.filter(({host}) => host !== name));
	assert.ok(affected.share >= others.share * 2 / 3, `the host without links: ${affected.text}; the others: ${others.text}`);
	assert.ok(others.share >= 0.95, others.text);
}

// Callers of the host got 502: it forwarded to hosts that could not serve it.
for (const [name, commit] of [['the previous build', previousBuild], ['a build that does not forward requests', buildWithoutForwarding]] as const) {
	test(`callers of a host of this build that has lost its links to servers are served beside hosts of ${name}`, async () => {
		await withFleet(previousThenCurrent(await buildRevision(commit)), async fleet => {
			await fleet.cut([hostCount - 1]);
			await checkServedThroughPeers(fleet, performance.now());
		});
	});
}

test('callers of a host whose connections to servers are accepted and then reset are served as others are', async () => {
	await withFleet(Array.from({length: hostCount}, () => currentBuildDirectory), async fleet => {
		for (const proxy of fleet.proxies) {
			proxy.affectedAddresses = new Set([fleet.cluster.hosts[hostCount - 1]!.ipAddress]);
			proxy.fault = 'reset';
			proxy.resetConnections();
		}

		await checkServedThroughPeers(fleet, performance.now());
	});
});

// The other hosts refused sound requests: they believed the reports of one host that servers had crashed.
test('hosts with links to servers serve their callers while one host of each build has lost its own', async () => {
	await withFleet(previousThenCurrent(await buildRevision(previousBuild)), async fleet => {
		const cutIndexes = [0, hostCount - 1];
		const isCut = ({host}: Outcome) => cutIndexes.some(index => fleet.cluster.hosts[index]!.name === host);
		await fleet.cut(cutIndexes);
		const cutAt = performance.now();
		await fleet.sendTraffic(6000);
		await fleet.heal();
		const healedAt = performance.now();
		await fleet.sendTraffic(3000);
		const during = describeShare(fleet.outcomes.filter(outcome => outcome.at > cutAt && outcome.at < healedAt && !isCut(outcome)));
		const after = describeShare(fleet.outcomes.filter(outcome => outcome.at > healedAt + 1000));
		assert.ok(during.share >= 0.95, `during the cut, the others: ${during.text}`);
		assert.ok(after.share >= 0.95, `after the cut, all: ${after.text}`);
	});
});

test('a fleet serves while its hosts are replaced by this build, one after the other', async () => {
	const directory = await buildRevision(previousBuild);
	await withFleet(Array.from({length: hostCount}, () => directory), async fleet => {
		const replaceAll = async () => {
			for (const host of fleet.cluster.hosts) {
				host.process.sendSignal('SIGTERM');
				fleet.replacedHosts.add(host.name);
				await host.process.waitForExit();
				host.buildDirectory = currentBuildDirectory;
				fleet.cluster.restart(host);
				await fleet.cluster.waitUntilServing();
				fleet.replacedHosts.delete(host.name);
			}
		};

		const startedAt = performance.now();
		const replacing = replaceAll();
		let isReplacing = true;
		void replacing.finally(() => {
			isReplacing = false;
		});
		while (isReplacing) {
			await fleet.sendTraffic(500);
		}

		await replacing;
		await fleet.sendTraffic(1000);
		const during = describeShare(fleet.outcomes.filter(({at}) => at > startedAt));
		assert.ok(during.share >= 0.95, during.text);
		assert.ok(fleet.cluster.hosts.every(({process: {isRunning}}) => isRunning));
	});
});

test.run();
