import {type Milliseconds, createSeededRandom} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type SimulatedFleetHost, SimulatedFleet} from '../src/index.js';

const test = suite('limits of servers over all hosts');

const seed = 29;
const limit = 2.1;
const windowTime = 4000;

/** The time from the first response with a limit until it must be kept, as the platform promises it. */
const contactTime = 3000;

/** The largest number of requests in a window, as the platform promises it. */
const allowedInWindow = Math.floor((1.5 * limit * windowTime / 1000) + 5);
const server = {id: 'i-1', incarnation: '1'};

type PendingRequest = {readonly host: SimulatedFleetHost; readonly expiresAt: Milliseconds};

/** Hosts in front of one server with a limit, and the requests that wait for it. */
class LimitedServerTraffic {
	readonly fleet = new SimulatedFleet(seed);
	readonly arrivals: Milliseconds[] = [];
	readonly #random = createSeededRandom(seed);
	#pending: PendingRequest[] = [];

	async start(hostCount: number, domains: number): Promise<void> {
		this.fleet.publish(1);
		this.fleet.registerServer({
			...server, sequence: 1, service: 'models', address: 'i-1:1', failureDomain: 'domain-0', slots: 8, isDraining: false, weights: {},
		});
		await this.fleet.startHosts(hostCount, domains);
		await this.fleet.run(6000);
	}

	get hosts(): SimulatedFleetHost[] {
		return [...this.fleet.hosts.values()];
	}

	/** A response to a request of one host. */
	respond(host: SimulatedFleetHost, requestsPerSecond: number | undefined): void {
		const report = host.clusterState.serverLimits.recordResponse(server, requestsPerSecond, {sentAt: this.fleet.now - 1, now: this.fleet.now});
		host.fleet.gossip.announceLimits(report === undefined ? [] : [report]);
	}

	/** Requests that wait for the server for up to 1.6 s: at each host at random, or one at every host at once. */
	async run(duration: Milliseconds, requestsPerSecond: number | 'one at every host'): Promise<void> {
		const endsAt = this.fleet.now + duration;
		if (requestsPerSecond === 'one at every host') {
			this.#pending.push(...this.hosts.map(host => ({host, expiresAt: this.fleet.now + 1600})));
		}

		while (this.fleet.now < endsAt) {
			if (requestsPerSecond !== 'one at every host' && this.#random.next() < requestsPerSecond / 100) {
				this.#pending.push({host: this.hosts[Math.floor(this.#random.next() * this.hosts.length)]!, expiresAt: this.fleet.now + 1600});
			}

			this.#pending = this.#pending.filter(request => request.expiresAt > this.fleet.now && !this.#trySend(request));
			await this.fleet.run(10);
		}
	}

	countInWorstWindow(from: Milliseconds): number {
		const late = this.arrivals.filter(at => at >= from);
		return Math.max(0, ...late.map(start => late.filter(at => at >= start && at < start + windowTime).length));
	}

	#trySend({host}: PendingRequest): boolean {
		const {serverLimits} = host.clusterState;
		if (serverLimits.waitTime(server, this.fleet.now, this.#random) > 0) {
			return false;
		}

		serverLimits.recordRequest(server, this.fleet.now);
		host.fleet.gossip.recordTotalsChanged('all');
		this.arrivals.push(this.fleet.now);
		return true;
	}
}

for (const [hostCount, domains] of [[9, 3], [195, 9]] as const) {
	test(`${hostCount} hosts keep to a limit and use it`, async () => {
		const traffic = new LimitedServerTraffic();
		await traffic.start(hostCount, domains);
		traffic.respond(traffic.hosts[0]!, limit);
		const namedAt = traffic.fleet.now;
		const duration = contactTime + 12_000;
		await traffic.run(duration, 60);
		const most = traffic.countInWorstWindow(namedAt + contactTime);
		assert.ok(most <= allowedInWindow, `${most} requests in ${windowTime} ms, ${allowedInWindow} allowed`);
		assert.ok(traffic.arrivals.length >= limit * duration / 1000 / 2, `${traffic.arrivals.length} requests in ${duration} ms`);
	});

	test(`${hostCount} hosts keep to a limit when all want to send at the same moment`, async () => {
		const traffic = new LimitedServerTraffic();
		await traffic.start(hostCount, domains);
		traffic.respond(traffic.hosts[0]!, limit);
		const namedAt = traffic.fleet.now;
		await traffic.run(contactTime + 4000, 0);
		for (let round = 0; round < 3; round++) {
			await traffic.run(2500, 'one at every host');
		}

		const most = traffic.countInWorstWindow(namedAt + contactTime);
		assert.ok(most <= allowedInWindow, `${most} requests in ${windowTime} ms, ${allowedInWindow} allowed`);
	});

	test(`${hostCount} hosts learn within a second that a limit has ended`, async () => {
		const traffic = new LimitedServerTraffic();
		await traffic.start(hostCount, domains);
		traffic.respond(traffic.hosts[0]!, limit);
		await traffic.run(2000, 20);
		const listLimited = () => traffic.hosts.filter(host => host.clusterState.serverLimits.findRequestsPerSecond(server) !== undefined);
		assert.is(listLimited().length, hostCount);
		traffic.respond(traffic.hosts.at(-1)!, undefined);
		await traffic.run(1000, 20);
		assert.is(listLimited().length, 0);
	});
}

test.run();
