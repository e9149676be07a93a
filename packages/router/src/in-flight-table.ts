/** A request that is running at a backend server. */
export type InFlightRow = {
	readonly requestId: string;
	readonly server: string;
	readonly fingerprint: number;
	readonly isSuspect: boolean;
};

/** The requests that run at backend servers through this router. */
export class InFlightTable {
	readonly #rows = new Map<string, InFlightRow>();
	readonly #broken = new Map<string, Set<number>>();

	get size(): number {
		return this.#rows.size;
	}

	add(row: InFlightRow): void {
		this.#rows.set(row.requestId, row);
	}

	remove(requestId: string): void {
		this.#rows.delete(requestId);
	}

	/**
	 * Takes note that a request broke off, together with all that ran beside it.
	 *
	 * @param server - The server it ran at.
	 */
	noteBroken(server: string): void {
		const fingerprints = this.#broken.get(server) ?? new Set<number>();
		for (const row of this.#rows.values()) {
			if (row.server === server) {
				fingerprints.add(row.fingerprint);
			}
		}

		this.#broken.set(server, fingerprints);
	}

	/**
	 * Takes what ran at a server when its requests broke off.
	 *
	 * @param server - The server.
	 * @returns The fingerprints; they are forgotten here.
	 */
	takeBroken(server: string): number[] {
		const fingerprints = [...(this.#broken.get(server) ?? [])];
		this.#broken.delete(server);
		return fingerprints;
	}

	/** @returns The servers at which a suspect runs. */
	serversWithSuspects(): Set<string> {
		return new Set([...this.#rows.values()].filter(row => row.isSuspect).map(row => row.server));
	}
}
