/** How a piece of a stream relates to what the caller already has. */
export type ChunkVerdict = 'next' | 'repeated' | 'gap';

/** Follows one caller's stream over all the engines that serve it. */
export class StreamProgress {
	#delivered = 0;
	#text = '';
	#isFinished = false;

	/** The number of the last chunk that the caller has; -1 before the first. */
	get lastSequence(): number {
		return this.#delivered - 1;
	}

	/** The text that the caller has, from which another engine resumes. */
	get text(): string {
		return this.#text;
	}

	/** True once the engine's own terminal marker arrived. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/**
	 * Judges a chunk; only the next one in order may be passed on.
	 *
	 * @param sequence - The engine's number for it, from 0.
	 * @param text - The text it adds.
	 * @returns The verdict; `next` counts it as delivered.
	 */
	take(sequence: number, text: string): ChunkVerdict {
		if (!Number.isInteger(sequence) || sequence > this.#delivered) {
			return 'gap';
		}

		if (sequence < this.#delivered) {
			return 'repeated';
		}

		this.#delivered++;
		this.#text += text;
		return 'next';
	}

	/** Takes note of the engine's terminal marker. */
	finish(): void {
		this.#isFinished = true;
	}
}
