import type {FleetLink, UsageTotals} from '@lacewingpoint/coordination';
import {type ServerLoad, isSameLoad, noLoad} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import {DemandReporter} from '../admission/demand-report.js';
import {RefusalReporter} from '../admission/refusal-report.js';
import {GossipEventQueue} from './gossip-events.js';
import type {HostMessage} from './host-messages.js';

/** Messages carry only changes, but the full state is sent at this interval, because datagrams get lost and peers restart. */
const fullStateInterval: Milliseconds = 1000;

/** The number of relays that a host tells at which software versions its streams began, which bounds the bytes that it sends. */
const originRecipients = 8;

/** Links of one kind, or all. */
export type LinkSelection = FleetLink['kind'] | 'all';

/** What has been sent to one incarnation of a peer, and what is to be sent next. */
export class PeerLink {
	readonly target: FleetLink;
	readonly events = new GossipEventQueue();
	readonly demandReporter = new DemandReporter();
	readonly refusalReporter = new RefusalReporter();
	lastSentAt = Number.NEGATIVE_INFINITY;
	/** The state version up to which changes have been sent. */
	sentStateVersion: number;
	/** The number of hosts whose state the peer reports; 1 for a member and before the first message. */
	hostCount = 1;
	/** Whether charges or loads may have changed since the last message. */
	hasNewTotals = true;
	/** Whether events wait that are not to wait for the interval of the others. */
	hasUrgentEvents = false;
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
		this.hasUrgentEvents = false;
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

/**
 * Updates the links of a host. Those to peers that are the same process at the same address are kept with what has been sent.
 *
 * @param previous - The links until now, by the peers' names.
 * @param targets - The peers from now on.
 * @param stateVersion - The current version of the cluster state.
 * @returns The links by the peers' names.
 */
export function updateLinks(previous: ReadonlyMap<string, PeerLink>, targets: readonly FleetLink[], stateVersion: number): Map<string, PeerLink> {
	return new Map(targets.map(target => {
		const known = previous.get(target.host.name);
		const isSame = known?.target.kind === target.kind && known.target.host.incarnation === target.host.incarnation && known.target.host.peerAddress === target.host.peerAddress;
		return [target.host.name, isSame ? known : new PeerLink(target, stateVersion)];
	}));
}

/**
 * Selects the relays that are told at which software versions streams began: those of this host's failure domain first.
 *
 * @param relays - The links to relays.
 * @param failureDomain - This host's failure domain.
 * @returns Some of the links.
 */
export function selectOriginRecipients(relays: readonly PeerLink[], failureDomain: string): PeerLink[] {
	const isSameDomain = ({target}: PeerLink) => target.host.failureDomain === failureDomain;
	return [...relays.filter(link => isSameDomain(link)), ...relays.filter(link => !isSameDomain(link))].slice(0, originRecipients);
}
