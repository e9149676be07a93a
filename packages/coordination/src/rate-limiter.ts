import {type Milliseconds, millisecondsPerSecond} from '@lacewingpoint/shared';

/** The parameters of a workspace's token bucket, over all hosts together. Units are tokens or requests, as the workspace is configured. */
export type RateLimit = {readonly unitsPerSecond: number; readonly burstUnits: number};

export type RateLimiterOptions = {
	/** After this time without a message from a peer, an assumed use is charged for it until its next message. */
	readonly heartbeatTimeout: Milliseconds;
	/**
	 * The assumed use of an unresponsive peer, as a share of the equal part of the rate of the hosts behind it. Most such peers have crashed and use nothing; only
	 * a partitioned one still does.
	 */
	readonly unresponsivePeerShare: number;
	/** The initial level of a bucket, as a share of one second's rate: a host that starts does not know its peers' use yet. */
	readonly startupShare: number;
};

/** The units that one host has charged since its start, by workspace. */
export type UsageTotals = ReadonlyMap<string, number>;

/** A peer that shares the limits: it reports the use of the hosts behind it together with its own. */
export type RateLimitPeer = {
	readonly name: string;
	/** The number of hosts whose use the peer reports. */
	readonly hostCount: number;
	/** Whether the peer's use is reported to other relays by this host, because the peer exchanges state with this host only. */
	readonly isMember: boolean;
};

/** A workspace's token bucket. */
type TokenBucket = {
	limit: RateLimit;
	/** The available units; negative while the bucket is in debt. */
	level: number;
	refilledAt: Milliseconds;
	/** Units charged by this host since its start. */
	charged: number;
};

type PeerUsage = {
	hostCount: number;
	isMember: boolean;
	/** Empty until the first message that is merged. */
	incarnation: string;
	receivedAt: Milliseconds;
	totals: Map<string, number>;
	/** Units charged for the assumed use while the peer is unresponsive, by workspace; settled by its next message. */
	assumed: Map<string, number>;
	assumedUntil: Milliseconds;
};

/**
 * A distributed rate limiter with one token bucket per workspace. Every host keeps a copy of each bucket; the hosts exchange their
 * running totals and subtract each other's use. A relay reports its members' use with its own, and reports to each member the use of all
 * others. Holds the limit when a workspace sends several times its rate through all hosts at once while some of them are partitioned.
 */
export class DistributedRateLimiter {
	readonly #options: RateLimiterOptions;
	readonly #buckets = new Map<string, TokenBucket>();
	readonly #peers = new Map<string, PeerUsage>();
	/** Use that peers have reported since this host started, also of those that are no longer peers: reported totals never fall. */
	readonly #membersUsage = new Map<string, number>();
	readonly #relaysUsage = new Map<string, number>();
	/** The part of the reported use that came from each member. */
	readonly #usageByMember = new Map<string, {readonly incarnation: string; readonly usage: Map<string, number>}>();

	constructor(options: RateLimiterOptions) {
		this.#options = options;
	}

	/**
	 * Applies the limits of a configuration. A lower limit takes effect at once.
	 *
	 * @param limits - The limit of each workspace that has one.
	 * @param now - Current monotonic time.
	 */
	setLimits(limits: ReadonlyMap<string, RateLimit>, now: Milliseconds): void {
		for (const [workspace, limit] of limits) {
			const bucket = this.#buckets.get(workspace);
			if (bucket === undefined) {
				const level = Math.min(limit.burstUnits, limit.unitsPerSecond * this.#options.startupShare);
				this.#buckets.set(workspace, {
					limit, level, refilledAt: now, charged: 0,
				});
				continue;
			}

			this.#refill(bucket, now);
			bucket.limit = limit;
			bucket.level = Math.min(bucket.level, limit.burstUnits);
		}

		for (const workspace of this.#buckets.keys()) {
			if (!limits.has(workspace)) {
				this.#buckets.delete(workspace);
			}
		}
	}

	/**
	 * Applies a single limit, in addition to others.
	 *
	 * @param name - What is limited.
	 * @param limit - The limit.
	 * @param now - Current monotonic time.
	 * @param isEmptied - Whether the bucket is emptied, because what was used before was not charged.
	 */
	setLimit(name: string, limit: RateLimit, now: Milliseconds, isEmptied: boolean): void {
		const bucket = this.#buckets.get(name) ?? {
			limit, level: 0, refilledAt: now, charged: 0,
		};
		this.#refill(bucket, now);
		bucket.limit = limit;
		bucket.level = Math.min(bucket.level, isEmptied ? 0 : limit.burstUnits);
		this.#buckets.set(name, bucket);
	}

	/**
	 * Ends a limit that was applied by itself. Its name must not be used again, because peers know the totals charged under it.
	 *
	 * @param name - What is limited.
	 */
	removeLimit(name: string): void {
		this.#buckets.delete(name);
	}

	/**
	 * Returns what a limit allows.
	 *
	 * @param name - What is limited.
	 * @param now - Current monotonic time.
	 * @returns The available units, negative while the bucket is in debt; infinite without a limit.
	 */
	level(name: string, now: Milliseconds): number {
		const bucket = this.#buckets.get(name);
		if (bucket === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		this.#refill(bucket, now);
		this.#chargeUnresponsivePeers(now);
		return bucket.level;
	}

	/**
	 * Sets the peers that share the limits.
	 *
	 * @param peers - The peers with which this host exchanges totals.
	 * @param now - Current monotonic time.
	 */
	setPeers(peers: readonly RateLimitPeer[], now: Milliseconds): void {
		for (const {name, hostCount, isMember} of peers) {
			const known = this.#peers.get(name);
			if (known === undefined) {
				this.#peers.set(name, {
					hostCount, isMember, incarnation: '', receivedAt: now, totals: new Map(), assumed: new Map(), assumedUntil: now,
				});
			} else {
				known.hostCount = hostCount;
				known.isMember = isMember;
			}
		}

		if (this.#peers.size > peers.length) {
			const names = new Set(peers.map(peer => peer.name));
			for (const name of this.#peers.keys()) {
				if (!names.has(name)) {
					this.#peers.delete(name);
				}
			}
		}
	}

	/**
	 * Charges a request if the limit allows it.
	 *
	 * @param workspace - The workspace that sent the request.
	 * @param units - The request's cost in units.
	 * @param now - Current monotonic time.
	 * @returns 0 when the request was charged or has no limit, otherwise the time until the limit is likely to allow it.
	 */
	charge(workspace: string, units: number, now: Milliseconds): Milliseconds {
		const bucket = this.#buckets.get(workspace);
		if (bucket === undefined) {
			return 0;
		}

		this.#refill(bucket, now);
		this.#chargeUnresponsivePeers(now);
		// A request larger than the burst would never fit; a full bucket admits it and goes into debt.
		const needed = Math.min(units, bucket.limit.burstUnits);
		if (bucket.level < needed) {
			return (needed - bucket.level) * millisecondsPerSecond / Math.max(bucket.limit.unitsPerSecond, 1);
		}

		bucket.level -= units;
		bucket.charged += units;
		return 0;
	}

	/**
	 * Refunds the charge of a request that was not executed.
	 *
	 * @param workspace - The workspace that sent the request.
	 * @param units - The charged units.
	 */
	refund(workspace: string, units: number): void {
		const bucket = this.#buckets.get(workspace);
		if (bucket !== undefined) {
			bucket.level = Math.min(bucket.level + units, bucket.limit.burstUnits);
			bucket.charged -= units;
		}
	}

	/** @returns The units that this host has charged since its start, by workspace. */
	localTotals(): UsageTotals {
		return new Map([...this.#buckets].map(([workspace, bucket]) => [workspace, bucket.charged]));
	}

	/** @returns The units charged by this host and reported by its members since its start, by workspace: what it reports to other relays. */
	groupTotals(): UsageTotals {
		return new Map([...this.#buckets].map(([workspace, bucket]) => [workspace, bucket.charged + (this.#membersUsage.get(workspace) ?? 0)]));
	}

	/**
	 * Sums up the use of all hosts except one member: what this host reports to that member.
	 *
	 * @param name - The member's name.
	 * @param incarnation - The member's incarnation.
	 * @returns The units charged or reported since this host's start, by workspace.
	 */
	totalsWithoutMember(name: string, incarnation: string): UsageTotals {
		const member = this.#usageByMember.get(name);
		const own = member?.incarnation === incarnation ? member.usage : undefined;
		return new Map([...this.#buckets].map(([workspace, bucket]) =>
			[workspace, bucket.charged + (this.#membersUsage.get(workspace) ?? 0) + (this.#relaysUsage.get(workspace) ?? 0) - (own?.get(workspace) ?? 0)]));
	}

	/**
	 * Merges the totals of a peer. Messages of a peer are ignored until one holds its full state; this one sets the baseline, and the
	 * charges in it are not deducted.
	 *
	 * @param name - The peer's name.
	 * @param incarnation - The peer's incarnation; the totals of a new one start at 0.
	 * @param totals - The units that the peer has charged since its start, by workspace.
	 * @param now - Current monotonic time.
	 * @param isFullState - Whether workspaces that `totals` leaves out have no charges; otherwise their totals are unchanged.
	 * @returns Whether the peer has reported use that was not known before.
	 */
	mergePeerTotals(name: string, incarnation: string, totals: UsageTotals, now: Milliseconds, isFullState = true): boolean {
		const peer = this.#peers.get(name);
		if (peer === undefined || (peer.incarnation === '' && !isFullState)) {
			return false;
		}

		let hasNewUsage = false;

		this.#chargeUnresponsivePeers(now);
		const isFirstMessage = peer.incarnation === '';
		const previous = peer.incarnation === incarnation ? peer.totals : new Map<string, number>();
		for (const [workspace, total] of totals) {
			const bucket = this.#buckets.get(workspace);
			if (bucket === undefined) {
				continue;
			}

			this.#refill(bucket, now);
			const used = isFirstMessage ? 0 : total - (previous.get(workspace) ?? 0);
			hasNewUsage ||= used !== 0;
			this.#recordReportedUsage(name, incarnation, peer.isMember, {workspace, units: used});
			bucket.level = Math.min(bucket.level - used + (peer.assumed.get(workspace) ?? 0), bucket.limit.burstUnits);
		}

		// A message of changes also settles the assumed use of workspaces that it leaves out, since their totals are known to be unchanged.
		for (const [workspace, assumed] of isFullState ? [] : peer.assumed) {
			const bucket = this.#buckets.get(workspace);
			if (bucket !== undefined && !totals.has(workspace)) {
				bucket.level = Math.min(bucket.level + assumed, bucket.limit.burstUnits);
			}
		}

		peer.totals = isFullState ? new Map(totals) : new Map([...previous, ...totals]);
		peer.incarnation = incarnation;
		peer.assumed.clear();
		peer.receivedAt = now;
		peer.assumedUntil = now;
		return hasNewUsage;
	}

	#recordReportedUsage(name: string, incarnation: string, isMember: boolean, {workspace, units}: {readonly workspace: string; readonly units: number}): void {
		const total = isMember ? this.#membersUsage : this.#relaysUsage;
		total.set(workspace, (total.get(workspace) ?? 0) + units);
		if (isMember) {
			const known = this.#usageByMember.get(name);
			const member = known?.incarnation === incarnation ? known : {incarnation, usage: new Map<string, number>()};
			member.usage.set(workspace, (member.usage.get(workspace) ?? 0) + units);
			this.#usageByMember.set(name, member);
		}
	}

	#refill(bucket: TokenBucket, now: Milliseconds): void {
		const elapsed = Math.max(now - bucket.refilledAt, 0);
		bucket.level = Math.min(bucket.level + (elapsed * bucket.limit.unitsPerSecond / millisecondsPerSecond), bucket.limit.burstUnits);
		bucket.refilledAt = now;
	}

	#chargeUnresponsivePeers(now: Milliseconds): void {
		let hosts = 1;
		for (const peer of this.#peers.values()) {
			hosts += peer.hostCount;
		}

		for (const peer of this.#peers.values()) {
			if (now - peer.receivedAt <= this.#options.heartbeatTimeout || now <= peer.assumedUntil) {
				continue;
			}

			const seconds = (now - peer.assumedUntil) / millisecondsPerSecond;
			peer.assumedUntil = now;
			for (const [workspace, bucket] of this.#buckets) {
				const units = bucket.limit.unitsPerSecond * seconds * this.#options.unresponsivePeerShare * peer.hostCount / hosts;
				peer.assumed.set(workspace, (peer.assumed.get(workspace) ?? 0) + units);
				bucket.level -= units;
			}
		}
	}
}
