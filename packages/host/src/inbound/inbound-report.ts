import type {ListenerKind, ShedReason} from '@lacewingpoint/routing';
import {
	type Disposable, type Logger, type Metrics, type Milliseconds, bytesPerMebibyte,
} from '@lacewingpoint/shared';

/** What was limited: a connection was ended, for one of the reasons, or reading was shared between connections. */
export type LimitedReason = ShedReason | 'read-turn';

const reportInterval: Milliseconds = 1000;

/** Counts what the limits on clients and peers have affected, and logs it in one line a second for each listener and reason. */
export class InboundReport implements Disposable {
	readonly #log: Logger;
	readonly #metrics: Metrics;
	readonly #timer: NodeJS.Timeout;
	readonly #heldBytes: () => number;
	#counts = new Map<string, {readonly listener: ListenerKind | 'all'; readonly reason: LimitedReason; count: number}>();

	/**
	 * @param log - Gets the lines.
	 * @param metrics - Gets the counters, and a gauge of the memory that connections take.
	 * @param heldBytes - Returns that memory.
	 */
	constructor(log: Logger, metrics: Metrics, heldBytes: () => number) {
		this.#log = log;
		this.#metrics = metrics;
		this.#heldBytes = heldBytes;
		metrics.registerGauge('inbound_bytes', heldBytes);
		this.#timer = setInterval(() => {
			this.#flush();
		}, reportInterval);
	}

	/**
	 * Counts an effect of a limit.
	 *
	 * @param listener - The kind of listener.
	 * @param reason - The limit.
	 */
	add(listener: ListenerKind | 'all', reason: LimitedReason): void {
		const key = `${listener} ${reason}`;
		const entry = this.#counts.get(key) ?? {listener, reason, count: 0};
		this.#counts.set(key, entry);
		entry.count++;
	}

	dispose(): void {
		clearInterval(this.#timer);
		this.#flush();
	}

	#flush(): void {
		const counts = this.#counts;
		if (counts.size === 0) {
			return;
		}

		this.#counts = new Map();
		for (const {listener, reason, count} of counts.values()) {
			this.#metrics.incrementCounter('inbound_limited', {listener, reason}, count);
			// A shared processor is no fault, and counted only.
			if (reason !== 'read-turn') {
				this.#log.warn('inbound-limited', {
					listener, reason, count, memory: Math.round(this.#heldBytes() / bytesPerMebibyte),
				});
			}
		}
	}
}
