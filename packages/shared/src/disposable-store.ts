/** Something that holds a resource until it is disposed. */
export type Disposable = {
	/** Releases the resource; calling it again has no effect. */
	dispose(): void | Promise<void>;
};

/** Gathers disposables and releases them together, newest first. */
export class DisposableStore implements Disposable {
	readonly #items: Disposable[] = [];
	#disposed = false;

	/**
	 * Takes ownership of a disposable.
	 *
	 * @param item - The disposable to own.
	 * @returns The same disposable, for chaining.
	 */
	add<T extends Disposable>(item: T): T {
		if (this.#disposed) {
			void item.dispose();
			return item;
		}

		this.#items.push(item);
		return item;
	}

	/**
	 * Takes ownership of a clean-up function.
	 *
	 * @param release - Called once when the store is disposed.
	 */
	defer(release: () => void | Promise<void>): void {
		this.add({dispose: release});
	}

	/** Releases everything in reverse order of acquisition. */
	async dispose(): Promise<void> {
		this.#disposed = true;
		for (;;) {
			const item = this.#items.pop();
			if (item === undefined) {
				return;
			}

			// Each release waits for the newer one: later resources lean on earlier ones.

			await item.dispose();
		}
	}
}
