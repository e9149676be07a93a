import type {Milliseconds} from '@lacewingpoint/shared';
import type {PeerLink} from './peer-link.js';

/** Shortest interval at which pending updates are sent: nine hosts rarely place the same prompt twice within it. */
const minimumSendInterval: Milliseconds = 25;

/** The send interval of a host with many links is this long for each of them, which bounds the messages that it sends. */
const sendIntervalPerLink: Milliseconds = 3;

/** Time between heartbeats of a host without updates. */
const heartbeatInterval: Milliseconds = 200;

/** Links that are due within the resolution of the timer are sent together. */
export const timerResolution: Milliseconds = 1;

/** Messages take less of a busy processor when the interval grows by this multiple of the time by which timers run late. */
const latenessFactor = 2;

/** The share of a lateness that still counts when the next timer runs in time, as a throttled process runs in bursts. */
const latenessDecay = 0.5;

/**
 * Decides at which interval messages are sent to a peer. It answers a host that is short of processor time in a burst of crashes or
 * requests: each event used to be sent to every peer by itself, and the messages took the time that requests and the configuration
 * needed.
 */
export class SendPace {
	#lateness: Milliseconds = 0;

	/**
	 * Records that the timer for the next messages has run.
	 *
	 * @param lateness - By how much it ran too late; the timer's resolution is not counted.
	 */
	recordTimer(lateness: Milliseconds): void {
		this.#lateness = Math.max(lateness - timerResolution, this.#lateness * latenessDecay, 0);
	}

	/**
	 * Computes the interval between messages to a peer for which updates wait. Heartbeats are sent at their own interval.
	 *
	 * @param linkCount - The number of links of this host.
	 * @param isUrgent - Whether an event waits that other hosts need soon, such as a crash or a server out of reach.
	 * @returns The interval.
	 */
	computeInterval(linkCount: number, isUrgent: boolean): Milliseconds {
		const interval = isUrgent ? minimumSendInterval : Math.max(minimumSendInterval, sendIntervalPerLink * linkCount);
		return interval + (latenessFactor * this.#lateness);
	}
}

/**
 * Finds when the next message to a peer is due.
 *
 * @param link - The peer's link.
 * @param sendInterval - The interval at which pending updates are sent.
 * @returns Monotonic time.
 */
export function findDueTime(link: PeerLink, sendInterval: Milliseconds): Milliseconds {
	return link.lastSentAt + (link.hasPendingUpdates ? Math.min(sendInterval, heartbeatInterval) : heartbeatInterval);
}
