import type {FleetLink, UsageTotals} from '@lacewingpoint/coordination';
import {type ServerLoad, isSameLoad, noLoad} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import {GossipEventQueue} from './gossip-events.js';
import type {HostMessage} from './host-messages.js';

/** Messages carry only changes, but the full state is sent at this interval, because datagrams get lost and peers restart. */
const fullStateInterval: Milliseconds = 1000;

/** What has been sent to one incarnation of a peer, and what is to be sent next. */
export class PeerLink {
	readonly target: FleetLink;
	readonly events = new GossipEventQueue();
	lastSentAt = Number.NEGATIVE_INFINITY;
	/** The state version up to which changes have been sent. */
	sentStateVersion: number;
	/** The number of hosts whose state the peer reports; 1 for a member and before the first message. */
	hostCount = 1;
	/** Whether charges or loads may have changed since the last message. */
	hasNewTotals = true;
	/** The charges and loads sent last, so that only changes are sent. */
	#sentCharges: UsageTotals = new Map();
	#sentLoads: ReadonlyMap<string, ServerLoad> = new Map();
	#lastFullStateAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param target - The peer.
	 * @param stateVersion - The current version of the cluster state, which the peer requests as a whole.
	 */
	constructor(target: FleetLink, stateVersion: number) {
		this.target = target;
		this.sentStateVersion = stateVersion;
	}

	/** Whether anything other than a heartbeat is to be sent. */
	get hasPendingUpdates(): boolean {
		return this.hasNewTotals || !this.events.isEmpty;
	}

	/**
	 * Starts a message.
	 *
	 * @param now - Current monotonic time.
	 * @returns Whether the message has to contain the full state.
	 */
	beginMessage(now: Milliseconds): boolean {
		this.lastSentAt = now;
		this.hasNewTotals = false;
		const isWhole = now - this.#lastFullStateAt >= fullStateInterval;
		if (isWhole) {
			this.#lastFullStateAt = now;
			this.#sentCharges = new Map();
			this.#sentLoads = new Map();
		}

		return isWhole;
	}

	/**
	 * Selects the charges that the peer does not have yet.
	 *
	 * @param totals - The totals to be reported to the peer.
	 * @returns The changed ones.
	 */
	takeChangedCharges(totals: UsageTotals): HostMessage['charged'] {
		const changed = [...totals].filter(([workspace, charged]) => (this.#sentCharges.get(workspace) ?? 0) !== charged);
		this.#sentCharges = totals;
		return Object.fromEntries(changed);
	}

	/**
	 * Selects the loads that the peer does not have yet.
	 *
	 * @param loads - The loads to be reported to the peer.
	 * @returns The changed ones; a server without remaining requests is sent once with an empty load.
	 */
	takeChangedLoads(loads: ReadonlyMap<string, ServerLoad>): HostMessage['loads'] {
		const ended = [...this.#sentLoads].filter(([server, load]) => load.requests > 0 && !loads.has(server));
		const changed = [...loads].filter(([server, load]) => !isSameLoad(this.#sentLoads.get(server) ?? noLoad, load));
		this.#sentLoads = new Map(loads);
		return Object.fromEntries([...ended.map(([server]) => [server, noLoad] as const), ...changed]
			.map(([server, load]) => [server, [load.requests, Math.round(load.prefillTokens), Math.round(load.memoryTokens)]]));
	}
}
