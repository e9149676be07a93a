import {ServerLinks} from '@lacewingpoint/routing';
import type {
	Logger, Metrics, Milliseconds, RandomSource,
} from '@lacewingpoint/shared';
import type {ConnectionTarget} from '../requests/backend-connection-pool.js';
import type {ClusterState} from './cluster-state.js';

/** Three servers crash one after another without any response in between only where hardly any requests arrive. */
const linkOptions = {detachThreshold: 3, failureLifetime: 2000} as const;

/** Time between connection attempts of a detached host, each to a server picked at random. */
const probeInterval: Milliseconds = 250;

/** How long a probed connection has to stay open: some links accept connections and reset them at once. */
const probeOpenTime: Milliseconds = 100;

export type ServerLinkMonitorOptions = {
	readonly clusterState: ClusterState;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
	/** @returns Whether the server accepts a connection that stays open for the given time. */
	canConnect(server: ConnectionTarget, openTime: Milliseconds): Promise<boolean>;
	/** Called when the host has lost its links to all servers, or has regained some. */
	onChanged(isDetached: boolean): void;
};

/** Notices when this host loses its links to all servers, and probes them until it reaches one again. */
export class ServerLinkMonitor {
	readonly #options: ServerLinkMonitorOptions;
	readonly #links = new ServerLinks(linkOptions);
	#detachedAt: Milliseconds = 0;
	#probedAt: Milliseconds = 0;
	#isProbing = false;

	constructor(options: ServerLinkMonitorOptions) {
		this.#options = options;
	}

	/** Whether the host has lost its links to all servers. */
	get isDetached(): boolean {
		return this.#links.isDetached;
	}

	/**
	 * Records that a server could not be reached or has stalled.
	 *
	 * @param server - The server's id.
	 */
	recordFailure(server: string): void {
		const {
			clusterState, log, metrics, now, onChanged,
		} = this.#options;
		const knownServers = clusterState.servers.listEntries().length;
		if (this.#links.recordFailure(server, knownServers, now())) {
			this.#detachedAt = now();
			this.#probedAt = now();
			metrics.incrementCounter('server_link_losses');
			log.warn('servers-lost', {server, servers: knownServers});
			onChanged(true);
		}
	}

	/**
	 * Records that a server has responded, or has kept a connection open.
	 *
	 * @param server - The server's id.
	 */
	recordReached(server: string): void {
		const {clusterState, log, now, onChanged} = this.#options;
		if (this.#links.recordReached()) {
			// The pauses were due to the lost links.
			clusterState.health.endPauses();
			log.info('servers-regained', {server, took: Math.round(now() - this.#detachedAt)});
			onChanged(false);
		}
	}

	/** Probes a server if the host is detached. Called periodically. */
	review(): void {
		const {clusterState, random, now} = this.#options;
		if (!this.isDetached || this.#isProbing || now() - this.#probedAt < probeInterval) {
			return;
		}

		const entries = clusterState.servers.listEntries();
		const chosen = entries[Math.floor(random.next() * entries.length)];
		if (chosen !== undefined) {
			this.#probedAt = now();
			void this.#probe(chosen.entry);
		}
	}

	async #probe(server: ConnectionTarget): Promise<void> {
		this.#isProbing = true;
		if (await this.#options.canConnect(server, probeOpenTime)) {
			this.recordReached(server.id);
		}

		this.#isProbing = false;
	}
}
