import type {RandomSource} from '@lacewingpoint/shared';

/** The location of a client, as far as its lookup request states it. */
export type ClientLocation = {readonly region: string | undefined; readonly failureDomain: string | undefined};

/** Clients use at most this many addresses of a lookup. */
const maximumAddresses = 64;

/** With a single nearby host, its failure would leave the client without any address. */
const minimumNearbyHosts = 2;

/**
 * Selects the hosts whose addresses a client gets; the client picks one of them at random. Prefers hosts in the client's failure
 * domain, then those in its region, then all. Meant for clients that spread evenly over failure domains, also when a domain loses
 * most of its hosts. Of too many hosts, each lookup gets others, so that all of them are used.
 *
 * @param hosts - The serving hosts.
 * @param client - The client's location.
 * @param random - Source of the selection among too many hosts.
 * @returns The hosts to offer to the client.
 */
export function selectNearbyHosts<Host extends {readonly region: string; readonly failureDomain: string}>(hosts: readonly Host[], client: ClientLocation, random: RandomSource): readonly Host[] {
	const nearby = findNearbyHosts(hosts, client);
	if (nearby.length <= maximumAddresses) {
		return nearby;
	}

	const first = Math.floor(random.next() * nearby.length);
	return [...nearby.slice(first), ...nearby.slice(0, first)].slice(0, maximumAddresses);
}

/** What the choice of a peer that sends requests on depends on. */
export type ForwardingChoice = {
	/** Region of the host that forwards. */
	readonly region: string;
	readonly random: RandomSource;
	/** @returns The number of running requests that were forwarded to a host. */
	runningRequests(name: string): number;
};

/**
 * Chooses the peer to which a request is forwarded: of two peers picked at random, the one with fewer running requests of this host.
 * Designed for hosts that lose their links together and share the remaining ones without knowing of each other's choices.
 *
 * @param hosts - The peers that reach servers. Those in the region of this host are preferred.
 * @param choice - The region, and what was forwarded to each peer.
 * @returns The peer; `undefined` if there is none.
 */
export function selectForwardingHost<Host extends {readonly name: string; readonly region: string}>(hosts: readonly Host[], {region, random, runningRequests}: ForwardingChoice): Host | undefined {
	const inRegion = hosts.filter(host => host.region === region);
	const candidates = inRegion.length > 0 ? inRegion : hosts;
	const pick = () => candidates[Math.floor(random.next() * candidates.length)];
	const [first, second] = [pick(), pick()];
	return first === undefined || second === undefined || runningRequests(first.name) <= runningRequests(second.name) ? first : second;
}

function findNearbyHosts<Host extends {readonly region: string; readonly failureDomain: string}>(hosts: readonly Host[], client: ClientLocation): readonly Host[] {
	const inDomain = hosts.filter(host => host.failureDomain === client.failureDomain);
	if (inDomain.length >= minimumNearbyHosts) {
		return inDomain;
	}

	const inRegion = hosts.filter(host => host.region === client.region);
	return inRegion.length >= minimumNearbyHosts ? inRegion : hosts;
}
