/**
 * The servers that a request was sent to, which it is not sent to again. Designed for servers that write a refusal twice: if a request that
 * must not be repeated returned to the server that refused it, the copy of the refusal would name it although it is being executed.
 */
export class TriedServers {
	readonly #tried = new Set<string>();
	readonly #refusing = new Set<string>();

	/** Ids of the servers to leave out of the choice. */
	get excluded(): ReadonlySet<string> {
		return this.#tried;
	}

	/**
	 * Records that the request is sent to a server.
	 *
	 * @param id - The server's id.
	 */
	add(id: string): void {
		this.#tried.add(id);
	}

	/**
	 * Records that a server has refused the request.
	 *
	 * @param id - The server's id.
	 */
	recordRefusal(id: string): void {
		this.#refusing.add(id);
	}

	/**
	 * Allows servers to be tried again after none of them has executed the request.
	 *
	 * @param isRepeatable - Whether the request may be executed twice. If not, servers that have refused it stay excluded.
	 * @returns Whether a server may be tried again.
	 */
	reopen(isRepeatable: boolean): boolean {
		const previousSize = this.#tried.size;
		if (isRepeatable) {
			this.#tried.clear();
		} else {
			for (const id of this.#tried) {
				if (!this.#refusing.has(id)) {
					this.#tried.delete(id);
				}
			}
		}

		return this.#tried.size < previousSize;
	}
}
