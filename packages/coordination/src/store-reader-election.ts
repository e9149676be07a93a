import type {Milliseconds} from '@lacewingpoint/shared';

export type StoreReaderElectionOptions = {
	/** A reader that has not announced its contact to the store for this long is taken to have none. */
	readonly contactTimeout: Milliseconds;
	/** How long each relay waits, per relay ranked above it, before it reads in the place of those. */
	readonly takeoverDelay: Milliseconds;
	/** How long a relay ranked above must have contact before this one stops reading. */
	readonly releaseDelay: Milliseconds;
};

/**
 * Decides which relays of a failure domain read the store: the one that is ranked first, or the next one if it has no contact. The others
 * get the changes from it. Keeps the number of calls to the store independent of the number of hosts.
 */
export class StoreReaderElection {
	readonly #self: string;
	readonly #options: StoreReaderElectionOptions;
	readonly #contactAnnouncedAt = new Map<string, Milliseconds>();
	#isReader = false;
	#changeDueSince: Milliseconds | undefined;

	/**
	 * @param self - The name of this host.
	 * @param options - Time limits.
	 */
	constructor(self: string, options: StoreReaderElectionOptions) {
		this.#self = self;
		this.#options = options;
	}

	/**
	 * Records whether a relay has contact to the store.
	 *
	 * @param relay - The relay's name.
	 * @param hasContact - Whether its latest message announces contact.
	 * @param now - Current monotonic time.
	 */
	recordContact(relay: string, hasContact: boolean, now: Milliseconds): void {
		if (hasContact) {
			this.#contactAnnouncedAt.set(relay, now);
		} else {
			this.#contactAnnouncedAt.delete(relay);
		}
	}

	/**
	 * Tells whether a relay has announced contact to the store recently.
	 *
	 * @param relay - The relay's name.
	 * @param now - Current monotonic time.
	 * @returns Whether the relay reads the store.
	 */
	hasContact(relay: string, now: Milliseconds): boolean {
		return now - (this.#contactAnnouncedAt.get(relay) ?? Number.NEGATIVE_INFINITY) <= this.#options.contactTimeout;
	}

	/**
	 * Reviews whether this host reads the store. Called periodically.
	 *
	 * @param rankedRelays - The relays of this host's failure domain that are alive, this host included, by rank; empty if this host is
	 * not a relay.
	 * @param now - Current monotonic time.
	 * @returns Whether this host reads the store from now on.
	 */
	review(rankedRelays: readonly string[], now: Milliseconds): boolean {
		const rank = rankedRelays.indexOf(this.#self);
		if (rank === -1) {
			this.#isReader = false;
			this.#changeDueSince = undefined;
			return false;
		}

		const isOtherReading = rankedRelays.slice(0, rank).some(relay => this.hasContact(relay, now));
		if (this.#isReader === !isOtherReading) {
			this.#changeDueSince = undefined;
			return this.#isReader;
		}

		this.#changeDueSince ??= now;
		const delay = this.#isReader ? this.#options.releaseDelay : this.#options.takeoverDelay * rank;
		if (now - this.#changeDueSince >= delay) {
			this.#isReader = !isOtherReading;
			this.#changeDueSince = undefined;
		}

		return this.#isReader;
	}
}
