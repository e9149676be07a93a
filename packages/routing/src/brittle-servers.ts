import {type Milliseconds, rankByRendezvous} from '@lacewingpoint/shared';
import type {ServerProcess} from './server-notices.js';

/** Up to this share of a server's slots, hosts send beyond their own parts: few of them do so at the same moment. */
const sharedOccupancy = 0.5;

/** A server that has not said for this long that it is brittle is not, as it would have said so in each response. */
const noticeLifetime: Milliseconds = 30_000;

/** A server that falls over when it has to turn requests away, and this host's view of its load. */
export type BrittleLoad = {
	readonly server: ServerProcess & {readonly slots: number};
	/** Requests of this host in flight at the server. */
	readonly ownRequests: number;
	/** Requests of all hosts in flight at the server, those of others as they last reported them. */
	readonly totalRequests: number;
	readonly hostName: string;
	/** The other hosts that send requests to servers. */
	readonly peerNames: readonly string[];
};

type BrittleNotice = {readonly incarnation: string; readonly rejectionsPerSecond: number; readonly updatedAt: Milliseconds};

/**
 * Servers that fall over if they have to turn away more than some requests in a second. Designed for overload: the hosts divide the
 * slots of such a server among themselves, because each learns of the requests of the others only later. Requests wait at the hosts.
 */
export class BrittleServers {
	readonly #notices = new Map<string, BrittleNotice>();

	/**
	 * Records what a response says of its server.
	 *
	 * @param server - The process.
	 * @param rejectionsPerSecond - The rejections in a second that it survives; `undefined` if it is not brittle.
	 * @param now - Current monotonic time.
	 * @returns Whether this is new.
	 */
	recordResponse({id, incarnation}: ServerProcess, rejectionsPerSecond: number | undefined, now: Milliseconds): boolean {
		const known = this.#find({id, incarnation}, now)?.rejectionsPerSecond;
		if (rejectionsPerSecond === undefined) {
			this.#notices.delete(id);
		} else {
			this.#notices.set(id, {incarnation, rejectionsPerSecond, updatedAt: now});
		}

		return known !== rejectionsPerSecond;
	}

	/**
	 * Tells whether a server is brittle.
	 *
	 * @param server - The process.
	 * @param now - Current monotonic time.
	 * @returns Whether it has said so in its last response.
	 */
	isBrittle(server: ServerProcess, now: Milliseconds): boolean {
		return this.#find(server, now) !== undefined;
	}

	/**
	 * Decides whether this host may send another request to a server.
	 *
	 * @param load - The server and its load.
	 * @param now - Current monotonic time.
	 * @returns False if the server is brittle and this host's part of its slots is used up.
	 */
	mayTake({server, ownRequests, totalRequests, hostName, peerNames}: BrittleLoad, now: Milliseconds): boolean {
		return totalRequests < server.slots * sharedOccupancy
			|| (totalRequests < server.slots && ownRequests < computeOwnPart(server, hostName, peerNames))
			|| !this.isBrittle(server, now);
	}

	/**
	 * Discards what is known of servers that are gone.
	 *
	 * @param isKnown - Whether a process is registered.
	 */
	removeUnknown(isKnown: (server: ServerProcess) => boolean): void {
		for (const [id, {incarnation}] of this.#notices) {
			if (!isKnown({id, incarnation})) {
				this.#notices.delete(id);
			}
		}
	}

	#find({id, incarnation}: ServerProcess, now: Milliseconds): BrittleNotice | undefined {
		const notice = this.#notices.get(id);
		return notice?.incarnation === incarnation && now - notice.updatedAt < noticeLifetime ? notice : undefined;
	}
}

// The remainder of the division goes to other hosts at each server.
function computeOwnPart({id, slots}: {readonly id: string; readonly slots: number}, hostName: string, peerNames: readonly string[]): number {
	const hostNames = [hostName, ...peerNames];
	const rank = rankByRendezvous(id, hostNames).indexOf(hostName);
	return Math.floor(slots / hostNames.length) + (rank < slots % hostNames.length ? 1 : 0);
}
