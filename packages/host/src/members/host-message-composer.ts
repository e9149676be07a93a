import type {
	FleetLink, HostDescription, HostRole, HostState,
} from '@lacewingpoint/coordination';
import type {QuarantinedPart, SuspectCrash} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from '../state/cluster-state.js';
import {describeRollouts} from '../rollouts/rollout-messages.js';
import type {CrashLog} from './crash-log.js';
import type {HostMessage} from './host-messages.js';
import type {PeerLink} from './peer-link.js';
import type {ReportedTotals} from './reported-totals.js';

/** What a host reports of itself in its messages. */
export type MessageSources = {
	readonly description: HostDescription;
	readonly clusterState: ClusterState;
	hostState(): HostState;
	hostRole(): HostRole;
	/** @returns Whether this host reads the store and has contact to it. */
	hasStoreContact(): boolean;
	/** @returns Digest of the hosts that this host reports to peers of a kind. */
	reportDigest(kind: FleetLink['kind']): number;
	/** @returns The prompt parts that this host keeps from the servers. */
	listQuarantinedParts(): QuarantinedPart[];
};

export type HostMessageComposerOptions = MessageSources & {
	readonly crashLog: CrashLog;
	/** @returns The links that this host has at present. */
	links(): PeerLink[];
};

/** Composes the messages to linked peers from the host's state and the events that wait for each of them. */
export class HostMessageComposer {
	readonly #options: HostMessageComposerOptions;

	constructor(options: HostMessageComposerOptions) {
		this.#options = options;
	}

	/** The number of hosts in the fleet, as far as the linked peers report them, this one included. */
	get hostCount(): number {
		return this.#options.links().reduce((count, link) => count + link.hostCount, 1);
	}

	/**
	 * Composes the next message to a peer.
	 *
	 * @param link - The peer's link.
	 * @param totals - The charges and loads to be reported at this moment.
	 * @param now - Current monotonic time.
	 * @returns The message, and whether events remain for another one.
	 */
	compose(link: PeerLink, totals: ReportedTotals, now: Milliseconds): {readonly message: HostMessage; readonly hasMore: boolean} {
		const {clusterState, description} = this.#options;
		const isWhole = link.beginMessage(now);
		const {events, hasMore} = link.events.take(now);
		link.sentStateVersion = hasMore ? events.updates.at(-1)?.version ?? link.sentStateVersion : clusterState.stateVersion;
		const message: HostMessage = {
			...this.createHeader(),
			...events,
			hostCount: this.#hostCountFor(link),
			stateVersion: this.isFollower(link.target) ? link.sentStateVersion : undefined,
			isWhole,
			host: isWhole ? description : undefined,
			digest: isWhole ? this.#options.reportDigest(link.target.kind) : undefined,
			charged: link.takeChangedCharges(totals.chargesFor(link)),
			loads: link.takeChangedLoads(totals.loadsFor(link)),
			rollouts: describeRollouts(clusterState.rollouts, link.target, now),
			refused: link.refusalReporter.take(clusterState.returningClients, source => source !== link.target.host.name && (source === undefined || totals.isForwarded(source, link)), now),
			demand: link.demandReporter.take(() => totals.demandFor(link), isWhole, now),
			limits: isWhole ? clusterState.serverLimits.listReports(now) : events.limits,
			quarantined: isWhole ? this.#options.listQuarantinedParts() : [],
			deaths: isWhole ? [...events.deaths, ...this.#listRepeatedCrashes(link, now)] : events.deaths,
		};
		return {message, hasMore};
	}

	/** @returns The fields that every message has. */
	createHeader(): Pick<HostMessage, 'name' | 'incarnation' | 'state' | 'role' | 'hostCount' | 'hasStoreContact' | 'configuration' | 'revision'> {
		const {description, clusterState} = this.#options;
		return {
			name: description.name,
			incarnation: description.incarnation,
			state: this.#options.hostState(),
			role: this.#options.hostRole(),
			hostCount: 1,
			hasStoreContact: this.#options.hasStoreContact(),
			configuration: clusterState.configuration?.version ?? 0,
			revision: clusterState.revision,
		};
	}

	/**
	 * Tells whether a peer follows the state of this host. State changes cross failure domains only through the store.
	 *
	 * @param target - The peer's link.
	 * @returns Whether this host is a relay, and the peer its member or a relay of the same failure domain.
	 */
	isFollower({kind, host}: FleetLink): boolean {
		return this.#options.hostRole() === 'relay' && (kind === 'member' || host.failureDomain === this.#options.description.failureDomain);
	}

	#hostCountFor(link: PeerLink): number {
		if (link.target.kind === 'member') {
			return this.hostCount - 1;
		}

		return 1 + this.#options.links().filter(({target}) => target.kind === 'member').length;
	}

	// Each relay informs the others itself.
	#listRepeatedCrashes({target}: PeerLink, now: Milliseconds): SuspectCrash[] {
		const relays = new Set(this.#options.links().filter(link => link.target.kind === 'relay').map(link => link.target.host.name));
		return this.#options.crashLog.listRepeated(source => source !== target.host.name && !(target.kind === 'relay' && relays.has(source)), now);
	}
}
