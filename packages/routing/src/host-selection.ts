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

function findNearbyHosts<Host extends {readonly region: string; readonly failureDomain: string}>(hosts: readonly Host[], client: ClientLocation): readonly Host[] {
	const inDomain = hosts.filter(host => host.failureDomain === client.failureDomain);
	if (inDomain.length >= minimumNearbyHosts) {
		return inDomain;
	}

	const inRegion = hosts.filter(host => host.region === client.region);
	return inRegion.length >= minimumNearbyHosts ? inRegion : hosts;
}
