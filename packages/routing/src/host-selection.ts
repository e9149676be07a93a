/** The location of a client, as far as its lookup request states it. */
export type ClientLocation = {readonly region: string | undefined; readonly failureDomain: string | undefined};

/** With a single nearby host, its failure would leave the client without any address. */
const minimumNearbyHosts = 2;

/**
 * Selects the hosts whose addresses a client gets; the client picks one of them at random. Prefers hosts in the client's failure
 * domain, then those in its region, then all. Meant for clients that spread evenly over failure domains, also when a domain loses
 * most of its hosts.
 *
 * @param hosts - The serving hosts.
 * @param client - The client's location.
 * @returns The hosts to offer to the client.
 */
export function selectNearbyHosts<Host extends {readonly region: string; readonly failureDomain: string}>(hosts: readonly Host[], client: ClientLocation): readonly Host[] {
	const inDomain = hosts.filter(host => host.failureDomain === client.failureDomain);
	if (inDomain.length >= minimumNearbyHosts) {
		return inDomain;
	}

	const inRegion = hosts.filter(host => host.region === client.region);
	return inRegion.length >= minimumNearbyHosts ? inRegion : hosts;
}
