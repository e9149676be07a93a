import {type Milliseconds, rankByRendezvous} from '@lacewingpoint/shared';
import type {
	HostDescription, HostDirectory, HostReport, HostRole,
} from './host-directory.js';

export type FleetTopologyOptions = {
	/** The number of relays in each failure domain. A domain with fewer hosts has only relays. */
	readonly relaysPerDomain: number;
	/** How long a host that starts waits for others before it decides without them. */
	readonly joinTime: Milliseconds;
	/** A relay that has sent nothing for this long is replaced by its members. */
	readonly relayTimeout: Milliseconds;
	/** A relay that failed is not chosen again for this long, unless there is no other. */
	readonly failedRelayBackoff: Milliseconds;
	/** Time between checks whether a domain lacks a relay or has one too many. */
	readonly roleReviewInterval: Milliseconds;
	/** How long a domain must lack a relay, or have one too many, before a host changes its role. */
	readonly roleChangeDelay: Milliseconds;
};

/** A peer with which state is exchanged directly. */
export type FleetLink = {
	readonly host: HostDescription;
	/** The peer's part in the exchange: another relay, or a member of this relay. */
	readonly kind: 'relay' | 'member';
};

/**
 * Decides a host's role and its links. Each failure domain has a few relays, which exchange state with all other relays; the other hosts
 * of the domain are members of one relay each. A host's number of links thus does not grow with the number of hosts, and state crosses
 * domains only between relays. Every host decides for itself from the hosts it knows; two views that differ for a while only lead to
 * additional relays.
 */
export class FleetTopology {
	readonly #self: HostDescription;
	readonly #directory: HostDirectory;
	readonly #options: FleetTopologyOptions;
	readonly #startedAt: Milliseconds;
	readonly #failedRelays = new Map<string, Milliseconds>();
	#role: HostRole = 'joining';
	#relay: {readonly description: HostDescription; readonly attachedAt: Milliseconds} | undefined;
	#isSettledPeerKnown = false;
	#roleChangeDueSince: Milliseconds | undefined;
	#roleReviewedAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param self - This host.
	 * @param directory - The other hosts, as this host knows them.
	 * @param options - Numbers of relays and time limits.
	 * @param now - Current monotonic time.
	 */
	constructor(self: HostDescription, directory: HostDirectory, options: FleetTopologyOptions, now: Milliseconds) {
		this.#self = self;
		this.#directory = directory;
		this.#options = options;
		this.#startedAt = now;
	}

	get role(): HostRole {
		return this.#role;
	}

	/** The relay of this host while it is a member. */
	get relay(): HostDescription | undefined {
		return this.#relay?.description;
	}

	/** Records that a host with a role has responded, so that there is no need to wait for others. */
	recordSettledPeer(): void {
		this.#isSettledPeerKnown = true;
	}

	/** Records that another host has chosen this one as its relay: this host then is one, whatever it knows of others. */
	recordAttachment(): void {
		if (this.#role !== 'relay') {
			this.#becomeRelay();
		}
	}

	/**
	 * Reviews the role and the relay. Called periodically.
	 *
	 * @param now - Current monotonic time.
	 * @param mustBeRelay - Whether this host has a task that needs a relay's connection to the store.
	 */
	review(now: Milliseconds, mustBeRelay: boolean): void {
		if (this.#role === 'joining' && !this.#isSettledPeerKnown && now - this.#startedAt < this.#options.joinTime) {
			return;
		}

		if (this.#role !== 'relay' && mustBeRelay) {
			this.#becomeRelay();
		} else if (this.#role !== 'relay' && !this.#isRelayUsable(now)) {
			this.#chooseRelay(now);
		}

		if (now - this.#roleReviewedAt >= this.#options.roleReviewInterval) {
			this.#roleReviewedAt = now;
			if (this.#role === 'relay') {
				this.#stepDownIfSuperfluous(now, mustBeRelay);
			} else {
				this.#stepUpIfNeeded(now);
			}
		}
	}

	/**
	 * Lists the peers with which this host exchanges state.
	 *
	 * @param now - Current monotonic time.
	 * @returns The links; empty while this host is joining.
	 */
	listLinks(now: Milliseconds): FleetLink[] {
		if (this.#role !== 'relay') {
			return this.#relay === undefined ? [] : [{host: this.#directory.findAlive(this.#relay.description.name, now)?.description ?? this.#relay.description, kind: 'relay'}];
		}

		const relays = this.#directory.listRelays(now).filter(host => host.name !== this.#self.name);
		return [
			...relays.map(host => ({host, kind: 'relay'} as const)),
			...this.#directory.listMembers(now).map(({description}) => ({host: description, kind: 'member'} as const)),
		];
	}

	/**
	 * Lists the relays of this host's failure domain that are alive.
	 *
	 * @param now - Current monotonic time.
	 * @returns Their names, those preferred as relays first; empty if this host is not a relay.
	 */
	listDomainRelays(now: Milliseconds): string[] {
		return this.#role === 'relay' ? this.#listDomain(this.#self.failureDomain, now).filter(host => host.role === 'relay').map(host => host.description.name) : [];
	}

	/**
	 * Lists hosts from which a joining host can choose its relay.
	 *
	 * @param failureDomain - The domain of the joining host.
	 * @param now - Current monotonic time.
	 * @returns The relays of the domain, this host included, and the hosts that would become relays next.
	 */
	listRelayCandidates(failureDomain: string, now: Milliseconds): HostReport[] {
		const hosts = this.#listDomain(failureDomain, now);
		const relays = hosts.filter(host => host.role === 'relay');
		const missing = Math.max(this.#options.relaysPerDomain - relays.length, 0);
		return [...relays.slice(0, this.#options.relaysPerDomain), ...hosts.filter(host => host.role !== 'relay').slice(0, missing)];
	}

	#becomeRelay(): void {
		this.#role = 'relay';
		this.#relay = undefined;
		this.#roleChangeDueSince = undefined;
	}

	#attach(description: HostDescription, now: Milliseconds): void {
		this.#role = 'member';
		this.#relay = {description, attachedAt: now};
	}

	#isRelayUsable(now: Milliseconds): boolean {
		if (this.#relay === undefined) {
			return false;
		}

		const {description, attachedAt} = this.#relay;
		const isNew = now - attachedAt <= this.#options.relayTimeout;
		if (!this.#directory.hasHeartbeat(description.name, now)) {
			return isNew;
		}

		const host = this.#directory.findAlive(description.name, now)!;
		return host.state !== 'stopping' && (host.role === 'relay' || isNew);
	}

	#chooseRelay(now: Milliseconds): void {
		if (this.#relay !== undefined) {
			this.#failedRelays.set(this.#relay.description.name, now);
			this.#relay = undefined;
		}

		const others = this.#listDomain(this.#self.failureDomain, now).filter(host =>
			host.description.name !== this.#self.name && now - (this.#failedRelays.get(host.description.name) ?? Number.NEGATIVE_INFINITY) > this.#options.failedRelayBackoff);
		const relays = others.filter(host => host.role === 'relay');
		if (relays.length > 0) {
			this.#attachToOneOf(relays, now);
			return;
		}

		const next = rankHosts([...others, this.#describeSelf()]).slice(0, this.#options.relaysPerDomain);
		if (next.some(host => host.description.name === this.#self.name)) {
			this.#becomeRelay();
		} else {
			this.#attachToOneOf(next, now);
		}
	}

	// Spreads the members over the relays.
	#attachToOneOf(hosts: readonly HostReport[], now: Milliseconds): void {
		const [name] = rankByRendezvous(this.#self.name, hosts.map(host => host.description.name));
		this.#attach(hosts.find(host => host.description.name === name)!.description, now);
	}

	#stepUpIfNeeded(now: Milliseconds): void {
		const hosts = this.#listDomain(this.#self.failureDomain, now);
		const missing = this.#options.relaysPerDomain - hosts.filter(host => host.role === 'relay').length;
		const isNext = hosts.filter(host => host.role === 'member').slice(0, Math.max(missing, 0)).some(host => host.description.name === this.#self.name);
		if (this.#isDue(isNext, now)) {
			this.#becomeRelay();
		}
	}

	#stepDownIfSuperfluous(now: Milliseconds, mustBeRelay: boolean): void {
		const relays = this.#listDomain(this.#self.failureDomain, now).filter(host => host.role === 'relay');
		const isSuperfluous = !mustBeRelay && relays.findIndex(host => host.description.name === this.#self.name) >= this.#options.relaysPerDomain;
		if (this.#isDue(isSuperfluous, now)) {
			this.#roleChangeDueSince = undefined;
			this.#attachToOneOf(relays.slice(0, this.#options.relaysPerDomain), now);
		}
	}

	#isDue(isRoleWrong: boolean, now: Milliseconds): boolean {
		this.#roleChangeDueSince = isRoleWrong ? this.#roleChangeDueSince ?? now : undefined;
		return this.#roleChangeDueSince !== undefined && now - this.#roleChangeDueSince >= this.#options.roleChangeDelay;
	}

	/** Lists the hosts of a domain that do not stop, this one included, those preferred as relays first. */
	#listDomain(failureDomain: string, now: Milliseconds): HostReport[] {
		const others = this.#directory.listAlive(now, failureDomain).filter(host => host.state !== 'stopping' && host.description.name !== this.#self.name);
		return rankHosts(failureDomain === this.#self.failureDomain ? [...others, this.#describeSelf()] : others);
	}

	#describeSelf(): HostReport {
		return {description: this.#self, state: 'serving', role: this.#role};
	}
}

function rankHosts(hosts: readonly HostReport[]): HostReport[] {
	return hosts.toSorted((left, right) => right.description.capacity - left.description.capacity || (left.description.name < right.description.name ? -1 : 1));
}
