import type {UsageTotals} from '@lacewingpoint/coordination';
import {type Demand, type ServerLoad, summarizeDemand} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from '../state/cluster-state.js';
import type {PeerLink} from './peer-link.js';

/** The workspaces of each service and rank that are reported by name. */
const namedWorkspaces = 4;

/**
 * The charges, loads and demand that are reported to peers at one moment: to other relays those of this host and its members, to a member those
 * of all other hosts.
 */
export class ReportedTotals {
	readonly #clusterState: ClusterState;
	readonly #isMember: (peer: string) => boolean;
	readonly #now: Milliseconds;
	#groupLoads: ReadonlyMap<string, ServerLoad> | undefined;
	#allLoads: ReadonlyMap<string, ServerLoad> | undefined;
	#groupCharges: UsageTotals | undefined;
	#groupDemand: Demand | undefined;

	/**
	 * @param clusterState - The charges and loads as this host knows them.
	 * @param isMember - Whether a peer, given by name, is a member of this relay.
	 * @param now - Current monotonic time.
	 */
	constructor(clusterState: ClusterState, isMember: (peer: string) => boolean, now: Milliseconds) {
		this.#clusterState = clusterState;
		this.#isMember = isMember;
		this.#now = now;
	}

	/**
	 * Returns the charges to be reported to a peer.
	 *
	 * @param link - The peer's link.
	 * @returns Units charged since the start, by workspace, and requests sent, by limited server.
	 */
	chargesFor(link: PeerLink): UsageTotals {
		const {rateLimiter, serverLimits} = this.#clusterState;
		if (link.target.kind === 'member') {
			const {name, incarnation} = link.target.host;
			return new Map([...rateLimiter.totalsWithoutMember(name, incarnation), ...serverLimits.totalsWithoutMember(name, incarnation)]);
		}

		this.#groupCharges ??= new Map([...rateLimiter.groupTotals(), ...serverLimits.groupTotals()]);
		return this.#groupCharges;
	}

	/**
	 * Returns the loads to be reported to a peer.
	 *
	 * @param link - The peer's link.
	 * @returns Loads by server.
	 */
	loadsFor(link: PeerLink): ReadonlyMap<string, ServerLoad> {
		const {loads} = this.#clusterState;
		if (link.target.kind === 'member') {
			this.#allLoads ??= loads.sumLoads(() => true, this.#now);
			return loads.subtractPeerLoads(this.#allLoads, link.target.host.name);
		}

		this.#groupLoads ??= loads.sumLoads(this.#isMember, this.#now);
		return this.#groupLoads;
	}

	/**
	 * Tells whether what a peer reports is passed on: to a member that of all others, to a relay that of this relay's members.
	 *
	 * @param source - The peer that reported it.
	 * @param link - The link to the recipient.
	 * @returns Whether it is.
	 */
	isForwarded(source: string, link: PeerLink): boolean {
		return link.target.kind === 'member' || this.#isMember(source);
	}

	/**
	 * Returns the demand to be reported to a peer.
	 *
	 * @param link - The peer's link.
	 * @returns What waits and what is used, by service.
	 */
	demandFor(link: PeerLink): Demand {
		const {demand} = this.#clusterState;
		if (link.target.kind === 'member') {
			return summarizeDemand(demand.sum(peer => peer !== link.target.host.name, this.#now), namedWorkspaces);
		}

		this.#groupDemand ??= summarizeDemand(demand.sum(this.#isMember, this.#now), namedWorkspaces);
		return this.#groupDemand;
	}
}
