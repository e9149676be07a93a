import type {Quarantine, SuspectCrash} from '@lacewingpoint/routing';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {HostGossip} from '../members/host-gossip.js';
import type {ClusterState} from './cluster-state.js';

/** A server that becomes unreachable within this time after a request was broken off is assumed to have crashed. */
const crashWindow: Milliseconds = 1500;

type BrokenRequest = {readonly fingerprint: number; readonly brokenAt: Milliseconds};

export type ServerCrashDetectorOptions = {
	readonly clusterState: ClusterState;
	readonly hostGossip: HostGossip;
	readonly quarantine: Quarantine;
	readonly log: Logger;
	readonly now: () => Milliseconds;
};

/** Finds the requests that may have crashed a server. A connection reset alone is not enough, as only the response may have been lost. */
export class ServerCrashDetector {
	readonly #options: ServerCrashDetectorOptions;
	readonly #brokenRequests = new Map<string, readonly BrokenRequest[]>();

	constructor(options: ServerCrashDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Records that a server broke off a request that it may have executed.
	 *
	 * @param server - The server's id.
	 * @param fingerprint - Hash of the request's content and workspace.
	 */
	recordBrokenRequest(server: string, fingerprint: number): void {
		this.#brokenRequests.set(server, [...this.#recentBrokenRequests(server), {fingerprint, brokenAt: this.#options.now()}]);
	}

	/**
	 * Records that a server is unreachable. The requests that it broke off just before are suspected of having crashed it.
	 *
	 * @param server - The server's id.
	 */
	recordUnreachable(server: string): void {
		const {clusterState, hostGossip, quarantine, log, now} = this.#options;
		const entry = clusterState.servers.findEntry(server);
		const suspects: SuspectCrash[] = this.#recentBrokenRequests(server).map(({fingerprint}) => ({
			fingerprint, server, incarnation: entry?.incarnation ?? '', failureDomain: entry?.failureDomain ?? '', age: 0,
		}));
		this.#brokenRequests.delete(server);
		if (suspects.length > 0) {
			quarantine.mergeSuspects(suspects, now());
			hostGossip.announceCrashes(suspects);
			log.info('server-death', {server, suspects: suspects.length});
		}

		hostGossip.announceUnreachable(server);
	}

	#recentBrokenRequests(server: string): readonly BrokenRequest[] {
		return (this.#brokenRequests.get(server) ?? []).filter(request => this.#options.now() - request.brokenAt < crashWindow);
	}
}
