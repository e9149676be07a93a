import type {Milliseconds} from '@lacewingpoint/shared';

/** A process of a server. What it has said of itself does not hold for the next one under the same id. */
export type ServerProcess = {readonly id: string; readonly incarnation: string};

type Notice = {
	readonly incarnation: string;
	isLeaving: boolean;
	pausedUntil: Milliseconds;
	updatedAt: Milliseconds;
};

/** A notice is kept this long after its last update, also for servers that are no longer registered. */
const noticeLifetime: Milliseconds = 600_000;

/**
 * What servers have said of themselves in their responses: that they are leaving, or want no requests for some time. Unlike the health of a
 * server this is not an estimate, and a later success does not end it.
 */
export class ServerNotices {
	readonly #notices = new Map<string, Notice>();

	/**
	 * Records that a server is leaving. It gets no new requests until its next incarnation.
	 *
	 * @param server - The process that is leaving.
	 * @param now - Current monotonic time.
	 * @returns Whether that was not known yet.
	 */
	recordLeaving(server: ServerProcess, now: Milliseconds): boolean {
		const notice = this.#getNotice(server, now);
		const isNew = !notice.isLeaving;
		notice.isLeaving = true;
		notice.updatedAt = now;
		return isNew;
	}

	/**
	 * Records that a server wants no requests for some time.
	 *
	 * @param server - The process that wants none.
	 * @param until - Monotonic time of the end of the pause. A pause that ends later stays in force.
	 * @param now - Current monotonic time.
	 */
	recordPause(server: ServerProcess, until: Milliseconds, now: Milliseconds): void {
		const notice = this.#getNotice(server, now);
		notice.pausedUntil = Math.max(notice.pausedUntil, until);
		notice.updatedAt = now;
	}

	/**
	 * Tells whether a server is leaving.
	 *
	 * @param server - The process.
	 * @returns Whether it has said so.
	 */
	isLeaving(server: ServerProcess): boolean {
		return this.#findNotice(server)?.isLeaving === true;
	}

	/**
	 * Returns the end of a pause that a server has asked for.
	 *
	 * @param server - The process.
	 * @param now - Current monotonic time.
	 * @returns Monotonic time of the end; `undefined` if the server takes requests.
	 */
	pausedUntil(server: ServerProcess, now: Milliseconds): Milliseconds | undefined {
		const until = this.#findNotice(server)?.pausedUntil;
		return until !== undefined && until > now ? until : undefined;
	}

	/**
	 * Removes notices that have not been updated for a long time.
	 *
	 * @param now - Current monotonic time.
	 */
	removeExpired(now: Milliseconds): void {
		for (const [id, notice] of this.#notices) {
			if (now - notice.updatedAt > noticeLifetime) {
				this.#notices.delete(id);
			}
		}
	}

	#findNotice(server: ServerProcess): Notice | undefined {
		const notice = this.#notices.get(server.id);
		return notice?.incarnation === server.incarnation ? notice : undefined;
	}

	#getNotice(server: ServerProcess, now: Milliseconds): Notice {
		const known = this.#findNotice(server);
		if (known !== undefined) {
			return known;
		}

		const notice: Notice = {
			incarnation: server.incarnation, isLeaving: false, pausedUntil: Number.NEGATIVE_INFINITY, updatedAt: now,
		};
		this.#notices.set(server.id, notice);
		return notice;
	}
}
