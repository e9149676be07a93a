import type {Milliseconds} from '@lacewingpoint/shared';

export type ServerLinksOptions = {
	/** The number of servers that fail one after another, without any data from a server in between, until the host counts as detached. */
	readonly detachThreshold: number;
	/** A failure counts for this long. */
	readonly failureLifetime: Milliseconds;
};

/**
 * Judges whether this host has lost its links to the servers. Designed for a partition of the host from all servers, while clients, peers
 * and the store still reach it.
 */
export class ServerLinks {
	readonly #options: ServerLinksOptions;
	/** When each server failed last, since any server was reached. */
	readonly #failures = new Map<string, Milliseconds>();
	#isDetached = false;

	constructor(options: ServerLinksOptions) {
		this.#options = options;
	}

	/** Whether the host has lost its links to all servers, as far as it has tried them. */
	get isDetached(): boolean {
		return this.#isDetached;
	}

	/**
	 * Records that a server has accepted a connection or sent data.
	 *
	 * @returns Whether this ends the detachment of the host.
	 */
	recordReached(): boolean {
		const wasDetached = this.#isDetached;
		this.#failures.clear();
		this.#isDetached = false;
		return wasDetached;
	}

	/**
	 * Records that a server could not be reached or has stalled.
	 *
	 * @param server - The server's id.
	 * @param knownServers - The number of servers in the directory.
	 * @param now - Current monotonic time.
	 * @returns Whether the host counts as detached from now on.
	 */
	recordFailure(server: string, knownServers: number, now: Milliseconds): boolean {
		this.#failures.set(server, now);
		for (const [id, failedAt] of this.#failures) {
			if (now - failedAt > this.#options.failureLifetime) {
				this.#failures.delete(id);
			}
		}

		if (this.#isDetached || this.#failures.size < Math.min(this.#options.detachThreshold, knownServers)) {
			return false;
		}

		this.#isDetached = true;
		return true;
	}
}
