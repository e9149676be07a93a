import {type Milliseconds, millisecondsPerSecond} from '@lacewingpoint/shared';

/** A limit on what one workspace may use over all hosts together. */
export type RateLimit = {readonly unitsPerSecond: number; readonly burstUnits: number};

export type RateLimiterOptions = {
	/** A peer not heard from for this long is counted as using its equal share. */
	readonly heartbeatTimeout: Milliseconds;
	/** The part of its equal share that a silent peer is counted as using: most silent peers are dead, not cut off. */
	readonly unresponsivePeerShare: number;
	/** How much of a second's rate a host that has just started may use before it knows its peers' use. */
	readonly startupShare: number;
};

/** What one host has charged since its start, by workspace. */
export type UsageTotals = ReadonlyMap<string, number>;

type Account = {
	limit: RateLimit;
	level: number;
	refilledAt: Milliseconds;
	charged: number;
};

type Peer = {
	incarnation: string;
	heardAt: Milliseconds;
	totals: Map<string, number>;
	/** What was counted for the peer while it was silent, by workspace. */
	assumed: Map<string, number>;
	assumedUntil: Milliseconds;
};

/**
 * One token bucket a workspace, of which every host keeps a copy: hosts exchange running totals and subtract each other's use.
 * Load pattern: one workspace sends several times its limit through all hosts at once, while some of them are cut off.
 */
export class DistributedRateLimiter {
	readonly #options: RateLimiterOptions;
	readonly #accounts = new Map<string, Account>();
	readonly #peers = new Map<string, Peer>();

	constructor(options: RateLimiterOptions) {
		this.#options = options;
	}

	/**
	 * Takes over the limits of a configuration. A lower limit binds at once.
	 *
	 * @param limits - The limit of each limited workspace.
	 * @param now - The present moment.
	 */
	setLimits(limits: ReadonlyMap<string, RateLimit>, now: Milliseconds): void {
		for (const [workspace, limit] of limits) {
			const account = this.#accounts.get(workspace);
			if (account === undefined) {
				const level = Math.min(limit.burstUnits, limit.unitsPerSecond * this.#options.startupShare);
				this.#accounts.set(workspace, {
					limit, level, refilledAt: now, charged: 0,
				});
				continue;
			}

			this.#refill(account, now);
			account.limit = limit;
			account.level = Math.min(account.level, limit.burstUnits);
		}

		for (const workspace of this.#accounts.keys()) {
			if (!limits.has(workspace)) {
				this.#accounts.delete(workspace);
			}
		}
	}

	/**
	 * Declares the peers that share the limits.
	 *
	 * @param peers - The names of the other hosts.
	 * @param now - The present moment.
	 */
	setPeers(peers: readonly string[], now: Milliseconds): void {
		for (const name of peers) {
			if (!this.#peers.has(name)) {
				this.#peers.set(name, {
					incarnation: '', heardAt: now, totals: new Map(), assumed: new Map(), assumedUntil: now,
				});
			}
		}

		for (const name of this.#peers.keys()) {
			if (!peers.includes(name)) {
				this.#peers.delete(name);
			}
		}
	}

	/**
	 * Charges a request if the limit allows it.
	 *
	 * @param workspace - Who sends it.
	 * @param units - What it counts.
	 * @param now - The present moment.
	 * @returns 0 when it was charged, otherwise the time until the limit is likely to allow it.
	 */
	charge(workspace: string, units: number, now: Milliseconds): Milliseconds {
		const account = this.#accounts.get(workspace);
		if (account === undefined) {
			return 0;
		}

		this.#refill(account, now);
		this.#countSilentPeers(now);
		// A request above the burst could never fit; a full bucket lets it through into debt.
		const needed = Math.min(units, account.limit.burstUnits);
		if (account.level < needed) {
			return (needed - account.level) * millisecondsPerSecond / Math.max(account.limit.unitsPerSecond, 1);
		}

		account.level -= units;
		account.charged += units;
		return 0;
	}

	/**
	 * Gives back the charge of a request that did not run.
	 *
	 * @param workspace - Who sent it.
	 * @param units - What it counted.
	 */
	refund(workspace: string, units: number): void {
		const account = this.#accounts.get(workspace);
		if (account !== undefined) {
			account.level = Math.min(account.level + units, account.limit.burstUnits);
			account.charged -= units;
		}
	}

	/** @returns What this host has charged since its start. */
	localTotals(): UsageTotals {
		return new Map([...this.#accounts].map(([workspace, account]) => [workspace, account.charged]));
	}

	/**
	 * Takes in a peer's totals. The first word from an unknown peer has to be whole: what it charged before is not deducted.
	 *
	 * @param name - The peer.
	 * @param incarnation - Its start; totals of a new one begin at 0.
	 * @param totals - What it has charged since then.
	 * @param now - The present moment.
	 * @param isWhole - Whether workspaces that are left out have no charges; otherwise theirs have not changed.
	 */
	mergePeerTotals(name: string, incarnation: string, totals: UsageTotals, now: Milliseconds, isWhole = true): void {
		const peer = this.#peers.get(name);
		if (peer === undefined || (peer.incarnation === '' && !isWhole)) {
			return;
		}

		this.#countSilentPeers(now);
		const isFirstWord = peer.incarnation === '';
		const previous = peer.incarnation === incarnation ? peer.totals : new Map<string, number>();
		for (const [workspace, total] of totals) {
			const account = this.#accounts.get(workspace);
			if (account === undefined) {
				continue;
			}

			this.#refill(account, now);
			const used = isFirstWord ? 0 : total - (previous.get(workspace) ?? 0);
			account.level = Math.min(account.level - used + (peer.assumed.get(workspace) ?? 0), account.limit.burstUnits);
		}

		// Whatever was assumed for a silent peer is settled by its word, also where that says that nothing has changed.
		for (const [workspace, assumed] of isWhole ? [] : peer.assumed) {
			const account = this.#accounts.get(workspace);
			if (account !== undefined && !totals.has(workspace)) {
				account.level = Math.min(account.level + assumed, account.limit.burstUnits);
			}
		}

		peer.totals = isWhole ? new Map(totals) : new Map([...previous, ...totals]);
		peer.incarnation = incarnation;
		peer.assumed.clear();
		peer.heardAt = now;
		peer.assumedUntil = now;
	}

	#refill(account: Account, now: Milliseconds): void {
		const elapsed = Math.max(now - account.refilledAt, 0);
		account.level = Math.min(account.level + (elapsed * account.limit.unitsPerSecond / millisecondsPerSecond), account.limit.burstUnits);
		account.refilledAt = now;
	}

	#countSilentPeers(now: Milliseconds): void {
		const hosts = this.#peers.size + 1;
		for (const peer of this.#peers.values()) {
			if (now - peer.heardAt <= this.#options.heartbeatTimeout || now <= peer.assumedUntil) {
				continue;
			}

			const seconds = (now - peer.assumedUntil) / millisecondsPerSecond;
			peer.assumedUntil = now;
			for (const [workspace, account] of this.#accounts) {
				const units = account.limit.unitsPerSecond * seconds * this.#options.unresponsivePeerShare / hosts;
				peer.assumed.set(workspace, (peer.assumed.get(workspace) ?? 0) + units);
				account.level -= units;
			}
		}
	}
}
