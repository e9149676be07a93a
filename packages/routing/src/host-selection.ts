/** A place that clients and hosts name. */
export type ClientLocation = {readonly region: string | undefined; readonly failureDomain: string | undefined};

/** With fewer near hosts than this, the loss of one would leave clients with none. */
const fewestNearHosts = 2;

/**
 * Chooses the hosts to name to a client, which picks among them at random: those of its failure domain, else of its region, else all.
 * Load pattern: clients spread evenly over domains, and a domain that loses most of its hosts.
 *
 * @param hosts - The hosts that serve.
 * @param client - Where the client is.
 * @returns The hosts to name.
 */
export function selectNearbyHosts<Host extends {readonly region: string; readonly failureDomain: string}>(hosts: readonly Host[], client: ClientLocation): readonly Host[] {
	const inDomain = hosts.filter(host => host.failureDomain === client.failureDomain);
	if (inDomain.length >= fewestNearHosts) {
		return inDomain;
	}

	const inRegion = hosts.filter(host => host.region === client.region);
	return inRegion.length >= fewestNearHosts ? inRegion : hosts;
}
