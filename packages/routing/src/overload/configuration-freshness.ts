import type {Milliseconds} from '@lacewingpoint/shared';

/** What is known of how recent a host's configuration is. */
export type ConfigurationFreshness = {
	/** How long ago the configuration was known to be the newest one; `undefined` if the store, which holds it, does not respond. */
	readonly age: Milliseconds | undefined;
	/** Whether the host is overloaded, so that newer configurations may wait to be read. */
	readonly isBehind: boolean;
	/** How long after a configuration was stored requests may be handled by an earlier one; `undefined` if that is not limited. */
	readonly applyWithin: Milliseconds | undefined;
};

/** The rest of the time is for the way of a configuration from the store to the host that passes it on, and of a request to its route. */
const usableShare = 0.75;

/**
 * Decides whether a host may handle new requests by the configuration that it has.
 *
 * Designed for hosts that get several times what they can do while routes, keys and limits change: what tells them of a new configuration
 * waits to be read, or is lost, while they go on serving by the old one. A host that keeps up reads it at once. While the store does not
 * respond, there is nothing to wait for, and the host goes on serving.
 *
 * @param freshness - What is known of the configuration, and of the host.
 * @returns Whether new requests have to be rejected.
 */
export function isConfigurationOutdated({age, isBehind, applyWithin}: ConfigurationFreshness): boolean {
	return isBehind && age !== undefined && applyWithin !== undefined && age >= applyWithin * usableShare;
}
