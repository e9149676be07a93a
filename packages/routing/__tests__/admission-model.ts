import {type RandomSource, createSeededRandom} from '@lacewingpoint/shared';
import {
	type Demand, type HeldRequest, type QueuedRequest, type RefusedRequest, AdmissionController, FleetDemand, RequestQueue, ReturningClients,
} from '../src/index.js';

/** A request of the replayed load. */
export type ModelRequest = {
	readonly id: number;
	readonly workspace: string;
	readonly rank: number;
	readonly size: number;
	readonly objective: number;
	readonly deadline: number;
	readonly domain: number;
	/** Whether its client ignores the retry-after. */
	readonly isImpatient?: boolean;
	readonly firstSentAt: number;
};

type Entry = QueuedRequest<ModelRequest> & HeldRequest;

export type ModelOptions = {
	readonly hosts: number;
	readonly servers: number;
	/** Size that a server executes per millisecond. */
	readonly serverRate: number;
	/** Whether the hosts keep one order, or each its own queue. */
	readonly isShared: boolean;
	/** Delay of announcements. */
	readonly delay: number;
	/** Returns whether a host neither sends nor receives announcements at a time. */
	isSilent?(host: number, now: number): boolean;
	/** Adds what a host announces in place of its demand. */
	announce?(host: number, demand: Demand): Demand;
};

export type ModelOutcome = {readonly request: ModelRequest; readonly servedAt: number | undefined; readonly isTimely: boolean};

type Announcements = {readonly demands: readonly Demand[]; readonly refused: readonly RefusedRequest[]};

const tick = 10;
const announcementInterval = 100;
const updateInterval = 50;
const backlogLimit = 100;
const sampleSize = 16;
const queueTimeShare = 0.4;

class ModelHost {
	readonly queue = new RequestQueue<ModelRequest, Entry>();
	readonly controller = new AdmissionController({
		ratePeriod: 1000, refusalTime: 150, capacityPeriod: 10_000, unusedTime: 100,
	});

	readonly fleetDemand = new FleetDemand({freshTime: 500, expiry: 1500});
	readonly returningClients = new ReturningClients({maximumEntries: 4096, retention: 3000});
	reportedUntil = 0;
}

/**
 * Replays a load against servers with little capacity: each server executes in turn what it has taken, and takes requests up to a backlog.
 *
 * @param load - The requests, in order of their arrival.
 * @param options - The size of the fleet, and how announcements travel.
 * @returns The outcome of each request.
 */
export function replayLoad(load: readonly ModelRequest[], options: ModelOptions): ModelOutcome[] {
	const random = createSeededRandom(4821);
	const hosts = Array.from({length: options.hosts}, () => new ModelHost());
	const busyUntil = Array.from({length: options.servers}, () => 0);
	const outcomes = new Map<number, ModelOutcome>();
	const returns: Array<{readonly at: number; readonly request: ModelRequest}> = [];
	const attempts = new Map<number, number>();
	const messages: Array<Announcements & {readonly at: number}> = [];
	let next = 0;
	const end = load.at(-1)!.firstSentAt + 15_000;

	const finish = (request: ModelRequest, servedAt: number | undefined) => {
		outcomes.set(request.id, {request, servedAt, isTimely: servedAt !== undefined && servedAt <= request.firstSentAt + request.objective});
	};

	const findServer = (now: number) => pickServer(busyUntil, now, random);
	const send = (host: ModelHost, request: ModelRequest, server: number, now: number) => {
		busyUntil[server] = Math.max(busyUntil[server]!, now) + (request.size / options.serverRate);
		host.controller.recordAdmitted('s', request, now);
		host.returningClients.forget(request.id);
		finish(request, busyUntil[server]);
	};

	const refuse = (host: ModelHost, entry: Entry, wait: number, now: number) => {
		const {item: request} = entry;
		const remaining = request.firstSentAt + request.deadline - now;
		const count = (attempts.get(request.id) ?? 0) + 1;
		attempts.set(request.id, count);
		const retryAfter = Math.min(wait, remaining * 0.33) * (options.isShared ? 0.8 + (0.2 * random.next()) : 1);
		host.controller.recordRefused('s', host.controller.classify('s', entry, now), now);
		host.returningClients.recordRefusal(request.id, retryAfter, now);
		if (remaining > 100 && count <= (request.isImpatient === true ? 20 : 1)) {
			returns.push({at: now + (request.isImpatient === true ? 30 : Math.max(retryAfter, tick)), request});
		} else {
			finish(request, undefined);
		}
	};

	const arrive = (request: ModelRequest, now: number) => {
		const host = hosts[Math.floor(random.next() * hosts.length)]!;
		const remaining = request.firstSentAt + request.deadline - now;
		const entry: Entry = {
			workspace: request.workspace, rank: request.rank, size: request.size, enqueuedAt: now, expiresAt: now + (remaining * queueTimeShare), timelyUntil: request.firstSentAt + (request.objective * 0.6), returnState: options.isShared ? host.returningClients.classify(request.id, now) : 'first', item: request,
		};
		host.controller.recordArrival('s', entry, now);
		const level = host.controller.classify('s', entry, now);
		const found = findServer(now);
		if (options.isShared && entry.returnState !== 'early' && !host.controller.admits('s', level, now)) {
			host.controller.recordHeldCapacity('s', found !== undefined, now);
		}

		const server = !options.isShared || host.controller.admits('s', level, now) ? found : undefined;
		if (server !== undefined) {
			send(host, request, server, now);
			return;
		}

		const localWait = (host.queue.sizeAhead(request.rank) + request.size) / (options.serverRate * sampleSize);
		const wait = options.isShared ? host.controller.estimateWait('s', level, request.size) ?? localWait : localWait;
		const isEarly = entry.returnState === 'early' && !host.controller.admits('s', level, now);
		if (isEarly || wait > remaining * queueTimeShare) {
			refuse(host, entry, wait, now);
		} else {
			host.queue.addRequest(entry);
		}
	};

	const dispatch = (host: ModelHost, now: number) => {
		const queued = new Map(host.queue.list().map(entry => [entry.item, entry]));
		for (const request of host.queue.removeExpired(now)) {
			refuse(host, queued.get(request)!, Number.POSITIVE_INFINITY, now);
		}

		let isProbed = false;
		host.queue.offerInOrder((request, level) => {
			if (options.isShared && !host.controller.admits('s', level, now)) {
				if (!isProbed) {
					isProbed = true;
					host.controller.recordHeldCapacity('s', findServer(now) !== undefined, now);
				}

				return false;
			}

			const server = findServer(now);
			if (server === undefined) {
				if (level > host.controller.levelOf('s')) {
					host.controller.recordHeldCapacity('s', false, now);
				}

				return false;
			}

			send(host, request, server, now);
			return true;
		}, options.isShared ? entry => host.controller.classify('s', entry, now) : undefined);
	};

	for (let now = 0; now < end && outcomes.size < load.length; now += tick) {
		if (options.isShared && now % updateInterval === 0) {
			const localDemands = hosts.map(host => host.controller.localDemand(new Map([['s', host.queue.list()]]), now));
			if (now % announcementInterval === 0) {
				messages.push({
					at: now + options.delay, demands: localDemands.map((demand, index) => options.announce?.(index, demand) ?? demand), refused: hosts.flatMap(host => takeRefused(host, now)),
				});
			}

			if (messages.length > 0 && messages[0]!.at <= now) {
				deliver(hosts, messages.shift()!, index => options.isSilent?.(index, now) === true, now);
			}

			for (const [index, host] of hosts.entries()) {
				host.fleetDemand.setLocalSource(() => localDemands[index]!);
				host.controller.update(host.fleetDemand.sum(() => true, now), () => 1, now);
			}
		}

		while (next < load.length && load[next]!.firstSentAt <= now) {
			arrive(load[next++]!, now);
		}

		for (const {request} of takeDue(returns, now)) {
			arrive(request, now);
		}

		for (const host of hosts) {
			if (host.queue.size > 0) {
				dispatch(host, now);
			}
		}
	}

	return load.map(request => outcomes.get(request.id) ?? {request, servedAt: undefined, isTimely: false});
}

function pickServer(busyUntil: readonly number[], now: number, random: RandomSource): number | undefined {
	let best: number | undefined;
	for (let index = 0; index < sampleSize; index++) {
		const server = Math.floor(random.next() * busyUntil.length);
		if (busyUntil[server]! < now + backlogLimit && (best === undefined || busyUntil[server]! < busyUntil[best]!)) {
			best = server;
		}
	}

	return best;
}

// Each host gets the sum of the others as one announcement, as a member does from its relay.
function deliver(hosts: readonly ModelHost[], {demands, refused}: Announcements, isSilent: (host: number) => boolean, now: number): void {
	const relay = new FleetDemand({freshTime: 500, expiry: 1500});
	for (const [index, demand] of demands.entries()) {
		if (!isSilent(index)) {
			relay.mergePeer(String(index), demand, now);
		}
	}

	const all = relay.sum(() => true, now);
	for (const [index, host] of hosts.entries()) {
		if (!isSilent(index)) {
			host.fleetDemand.mergePeer('relay', all, now);
			for (const [fingerprint, wait] of refused) {
				host.returningClients.recordRefusal(fingerprint, wait, now, 'relay');
			}
		}
	}
}

function takeRefused(host: ModelHost, now: number): RefusedRequest[] {
	const refused = host.returningClients.listNewest(host.reportedUntil, 12, now, source => source === undefined);
	host.reportedUntil = host.returningClients.sequence;
	return refused;
}

function takeDue<Item extends {readonly at: number}>(items: Item[], now: number): Item[] {
	const due = items.filter(({at}) => at <= now);
	items.splice(0, items.length, ...items.filter(({at}) => at > now));
	return due;
}
