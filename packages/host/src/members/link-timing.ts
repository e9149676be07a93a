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

/**
 * Computes the interval at which pending updates are sent.
 *
 * @param linkCount - The number of links of this host.
 * @returns The interval.
 */
export function computeSendInterval(linkCount: number): Milliseconds {
	return Math.max(minimumSendInterval, sendIntervalPerLink * linkCount);
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
