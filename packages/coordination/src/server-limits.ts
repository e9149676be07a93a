import {type Milliseconds, type RandomSource, millisecondsPerSecond} from '@lacewingpoint/shared';
import {type RateLimitPeer, type UsageTotals, DistributedRateLimiter} from './rate-limiter.js';

export type ServerLimitsOptions = {
	/** After this time without a message from a peer, an assumed use is charged for it until its next message. */
	readonly heartbeatTimeout: Milliseconds;
	/** The assumed use of an unresponsive peer, as a share of the equal part of the limit of the hosts behind it. */
	readonly unresponsivePeerShare: number;
	/** A limit is assumed to have ended when no host was told of it for this long. */
	readonly limitLifetime: Milliseconds;
	/** What is known of a server is kept this long, because its totals must not start again from 0. */
	readonly removalDelay: Milliseconds;
	/** A limit below this one is raised to it, so that some response tells when the limit ends. */
	readonly lowestRequestsPerSecond: number;
	/** Unused requests are saved up for this long. */
	readonly burstTime: Milliseconds;
	/** Mean time between the turns of two hosts, within which one usually learns that the other has sent a request. */
	readonly turnSpacing: Milliseconds;
	/** A host that has not asked for this long waits for a new turn. */
	readonly turnExpiry: Milliseconds;
	/** Within this time, a host sends at most `ownShareFactor` times its equal part of the limit, but one request in any case. */
	readonly ownShareWindow: Milliseconds;
	readonly ownShareFactor: number;
};

/** The options for use in production. */
export const defaultServerLimitsOptions: ServerLimitsOptions = {
	heartbeatTimeout: 750,
	unresponsivePeerShare: 0.5,
	limitLifetime: 60_000,
	removalDelay: 600_000,
	lowestRequestsPerSecond: 0.1,
	burstTime: 1000,
	turnSpacing: 50,
	turnExpiry: 300,
	ownShareWindow: 500,
	ownShareFactor: 4,
};

/** What a server has said of its limit, as hosts report it to each other. */
export type NamedLimit = {
	readonly id: string;
	readonly incarnation: string;
	/** The rate that it takes from all hosts together; `undefined` once it names none. */
	readonly requestsPerSecond?: number | undefined;
	/** Time since it said so; for the end of a limit, since the request was sent whose response named none. */
	readonly age: Milliseconds;
};

/** A process of a server. */
export type LimitedServer = {readonly id: string; readonly incarnation: string};

type ServerLimit = {
	readonly incarnation: string;
	requestsPerSecond: number | undefined;
	saidAt: Milliseconds;
	/** When this host last asked, and the level that it saw. */
	askedAt: Milliseconds;
	levelSeen: number;
	turnBeganAt: Milliseconds;
	/** The position of this host's turn among those of all hosts, from 0 to 1. */
	turnPosition: number;
	/** Times of the requests of this host in the latest window. */
	ownRequests: readonly Milliseconds[];
};

/**
 * Keeps to the limits that servers name for all hosts together. The hosts share a token bucket for each limited server. As it takes a
 * while until a host learns of the requests of the others, hosts take turns in random order: the first one to use a permit ends the turns
 * of those that hear of it in time, and what is sent too much is saved later.
 */
export class ServerLimits {
	readonly #options: ServerLimitsOptions;
	readonly #limiter: DistributedRateLimiter;
	readonly #limits = new Map<string, ServerLimit>();
	#hostCount = 1;

	constructor(options: ServerLimitsOptions) {
		this.#options = options;
		this.#limiter = new DistributedRateLimiter({heartbeatTimeout: options.heartbeatTimeout, unresponsivePeerShare: options.unresponsivePeerShare, startupShare: 0});
	}

	/**
	 * Sets the peers that share the limits.
	 *
	 * @param peers - The peers with which this host exchanges totals.
	 * @param now - Current monotonic time.
	 */
	setPeers(peers: readonly RateLimitPeer[], now: Milliseconds): void {
		this.#hostCount = peers.reduce((sum, {hostCount}) => sum + hostCount, 1);
		this.#limiter.setPeers(peers, now);
	}

	/**
	 * Records what a response says of its server's limit.
	 *
	 * @param server - The process that responded.
	 * @param requestsPerSecond - The limit that it names; `undefined` if it names none.
	 * @param times - When the request was sent, and the current monotonic time.
	 * @returns What is to be reported to the peers, because it is new.
	 */
	recordResponse(server: LimitedServer, requestsPerSecond: number | undefined, times: {readonly sentAt: Milliseconds; readonly now: Milliseconds}): NamedLimit | undefined {
		const {sentAt, now} = times;
		const known = this.#findLimit(server);
		if (requestsPerSecond !== undefined) {
			const isNew = known?.requestsPerSecond !== requestsPerSecond;
			this.#apply(server, requestsPerSecond, now, now);
			return isNew ? {...server, requestsPerSecond, age: 0} : undefined;
		}

		// A response to an earlier request may have been on its way when the server named the limit.
		if (known?.requestsPerSecond === undefined || sentAt <= known.saidAt) {
			return undefined;
		}

		this.#apply(server, undefined, sentAt, now);
		return {...server, requestsPerSecond: undefined, age: now - sentAt};
	}

	/**
	 * Merges what a peer reports.
	 *
	 * @param reports - The limits, also ended ones.
	 * @param now - Current monotonic time.
	 * @returns The reports that changed a limit here.
	 */
	mergeReports(reports: readonly NamedLimit[], now: Milliseconds): NamedLimit[] {
		return reports.filter(({id, incarnation, requestsPerSecond, age}) => {
			const known = this.#findLimit({id, incarnation});
			const saidAt = now - age;
			if (known !== undefined && saidAt <= known.saidAt) {
				return false;
			}

			const isChange = known?.requestsPerSecond !== requestsPerSecond;
			this.#apply({id, incarnation}, requestsPerSecond, saidAt, now);
			return isChange;
		});
	}

	/**
	 * Lists all limits for the peers, also those that have ended recently.
	 *
	 * @param now - Current monotonic time.
	 * @returns One report for each server.
	 */
	listReports(now: Milliseconds): NamedLimit[] {
		const current = [...this.#limits].filter(([, {saidAt}]) => now - saidAt <= this.#options.limitLifetime);
		return current.map(([id, {incarnation, requestsPerSecond, saidAt}]) => ({
			id, incarnation, requestsPerSecond, age: now - saidAt,
		}));
	}

	/**
	 * Returns the limit in force for a server.
	 *
	 * @param server - The process.
	 * @returns Its limit in requests per second; `undefined` if it has none.
	 */
	findRequestsPerSecond(server: LimitedServer): number | undefined {
		return this.#findLimit(server)?.requestsPerSecond;
	}

	/**
	 * Returns how long to wait before a request is sent to a server.
	 *
	 * @param server - The process.
	 * @param now - Current monotonic time.
	 * @param random - Chooses the turn of this host.
	 * @returns 0 if the request may be sent, otherwise the time after which it is likely to be allowed.
	 */
	waitTime(server: LimitedServer, now: Milliseconds, random: RandomSource): Milliseconds {
		const limit = this.#findLimit(server);
		if (limit?.requestsPerSecond === undefined) {
			return 0;
		}

		const rate = this.#effectiveRate(limit.requestsPerSecond);
		const level = this.#limiter.level(bucketName(server), now);
		const hasLostTurn = level < 1 || level < limit.levelSeen - 0.5 || now - limit.askedAt > this.#options.turnExpiry;
		if (hasLostTurn) {
			limit.turnBeganAt = now;
			limit.turnPosition = random.next();
		}

		limit.askedAt = now;
		limit.levelSeen = level;
		if (level < 1) {
			return (1 - level) * millisecondsPerSecond / rate;
		}

		const turnDelay = limit.turnPosition * (this.#hostCount - 1) * this.#options.turnSpacing / level;
		return Math.max(limit.turnBeganAt + turnDelay - now, this.#ownShareWait(limit, rate, now), 0);
	}

	/**
	 * Records that a request is sent to a server.
	 *
	 * @param server - The process.
	 * @param now - Current monotonic time.
	 */
	recordRequest(server: LimitedServer, now: Milliseconds): void {
		const limit = this.#findLimit(server);
		if (limit?.requestsPerSecond !== undefined) {
			this.#limiter.charge(bucketName(server), 1, now);
			limit.ownRequests = [...limit.ownRequests.filter(at => now - at < this.#options.ownShareWindow), now];
			limit.askedAt = Number.NEGATIVE_INFINITY;
		}
	}

	/**
	 * Ends the limits that no server has confirmed for long, and forgets those of servers that are gone.
	 *
	 * @param now - Current monotonic time.
	 * @param isRegistered - Whether a process is registered.
	 */
	removeExpired(now: Milliseconds, isRegistered: (server: LimitedServer) => boolean): void {
		for (const [id, limit] of this.#limits) {
			const server = {id, incarnation: limit.incarnation};
			if (now - limit.saidAt > this.#options.limitLifetime) {
				limit.requestsPerSecond = undefined;
			}

			if (now - limit.saidAt > this.#options.removalDelay && !isRegistered(server)) {
				this.#limiter.removeLimit(bucketName(server));
				this.#limits.delete(id);
			}
		}
	}

	/** @returns The requests of this host and its members to limited servers, for other relays. */
	groupTotals(): UsageTotals {
		return this.#limiter.groupTotals();
	}

	/**
	 * Sums up the requests of all hosts except one member.
	 *
	 * @param name - The member's name.
	 * @param incarnation - The member's incarnation.
	 * @returns The requests to limited servers.
	 */
	totalsWithoutMember(name: string, incarnation: string): UsageTotals {
		return this.#limiter.totalsWithoutMember(name, incarnation);
	}

	/**
	 * Merges the totals of a peer, as for workspaces.
	 *
	 * @param peer - The peer's name and incarnation.
	 * @param totals - The totals; those of other limits are ignored.
	 * @param now - Current monotonic time.
	 * @param isFullState - Whether limits that `totals` leaves out have no requests.
	 * @returns Whether the peer has reported requests that were not known before.
	 */
	mergePeerTotals({name, incarnation}: {readonly name: string; readonly incarnation: string}, totals: UsageTotals, now: Milliseconds, isFullState: boolean): boolean {
		return this.#limiter.mergePeerTotals(name, incarnation, totals, now, isFullState);
	}

	#apply(server: LimitedServer, requestsPerSecond: number | undefined, saidAt: Milliseconds, now: Milliseconds): void {
		const known = this.#findLimit(server);
		const limit = known ?? {
			incarnation: server.incarnation, requestsPerSecond: undefined, saidAt, askedAt: Number.NEGATIVE_INFINITY, levelSeen: 0, turnBeganAt: now, turnPosition: 1, ownRequests: [],
		};
		if (requestsPerSecond !== undefined && limit.requestsPerSecond !== requestsPerSecond) {
			const rate = this.#effectiveRate(requestsPerSecond);
			const rateLimit = {unitsPerSecond: rate, burstUnits: 1 + (rate * this.#options.burstTime / millisecondsPerSecond)};
			// Requests sent while there was no limit were not charged, so nothing is saved up.
			this.#limiter.setLimit(bucketName(server), rateLimit, now, limit.requestsPerSecond === undefined);
		}

		limit.requestsPerSecond = requestsPerSecond;
		limit.saidAt = Math.max(limit.saidAt, saidAt);
		this.#limits.set(server.id, limit);
	}

	#ownShareWait(limit: ServerLimit, rate: number, now: Milliseconds): Milliseconds {
		const {ownShareWindow, ownShareFactor} = this.#options;
		const allowed = Math.max(1, Math.floor(ownShareFactor * rate * ownShareWindow / millisecondsPerSecond / this.#hostCount));
		const recent = limit.ownRequests.filter(at => now - at < ownShareWindow);
		return recent.length < allowed ? 0 : recent.at(-allowed)! + ownShareWindow - now;
	}

	#effectiveRate(requestsPerSecond: number): number {
		return Math.max(requestsPerSecond, this.#options.lowestRequestsPerSecond);
	}

	#findLimit({id, incarnation}: LimitedServer): ServerLimit | undefined {
		const limit = this.#limits.get(id);
		return limit?.incarnation === incarnation ? limit : undefined;
	}
}

// Workspaces and servers share a field of the messages between hosts. The name of a workspace is sent in a header, so it has no line break.
function bucketName({id, incarnation}: LimitedServer): string {
	return `${id}\n${incarnation}`;
}
