/** An object that holds a resource until it is disposed. */
export type Disposable = {
	/** Releases the resource; calling it again has no effect. */
	dispose(): void | Promise<void>;
};

/** Collects disposables and releases them together, in reverse order of addition. */
export class DisposableStore implements Disposable {
	readonly #disposables: Disposable[] = [];
	#isDisposed = false;

	/**
	 * Takes ownership of a disposable. A store that is already disposed releases it immediately.
	 *
	 * @param disposable - The disposable to own.
	 * @returns The same disposable, for chaining.
	 */
	add<T extends Disposable>(disposable: T): T {
		if (this.#isDisposed) {
			void disposable.dispose();
			return disposable;
		}

		this.#disposables.push(disposable);
		return disposable;
	}

	/**
	 * Registers a clean-up function.
	 *
	 * @param release - Called once, when the store is disposed.
	 */
	defer(release: () => void | Promise<void>): void {
		this.add({dispose: release});
	}

	/** Releases all disposables in reverse order of addition. */
	async dispose(): Promise<void> {
		this.#isDisposed = true;
		for (;;) {
			const disposable = this.#disposables.pop();
			if (disposable === undefined) {
				return;
			}

			// Releases run one after the other, because a resource may depend on those added before it.

			await disposable.dispose();
		}
	}
}
