import type {Quarantine, SuspectCrash} from '@lacewingpoint/routing';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from './cluster-state.js';
import type {HostGossip} from './host-gossip.js';

/** A server counts as dead when it cannot be reached within this time after it broke off requests. */
const deathWindow: Milliseconds = 1500;

type BrokenRequest = {readonly fingerprint: number; readonly at: Milliseconds};

export type ServerCrashDetectorOptions = {
	readonly clusterState: ClusterState;
	readonly hostGossip: HostGossip;
	readonly quarantine: Quarantine;
	readonly log: Logger;
	readonly now: () => Milliseconds;
};

/** Finds the requests that servers died with: a reset alone may be a lost answer. */
export class ServerCrashDetector {
	readonly #options: ServerCrashDetectorOptions;
	readonly #broken = new Map<string, readonly BrokenRequest[]>();

	constructor(options: ServerCrashDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Notes that a server broke off a request that it may have run.
	 *
	 * @param server - The server.
	 * @param fingerprint - The hash of the request's content and workspace.
	 */
	recordBrokenRequest(server: string, fingerprint: number): void {
		this.#broken.set(server, [...this.#recent(server), {fingerprint, at: this.#options.now()}]);
	}

	/**
	 * Notes that a server cannot be reached: what it broke off just before may have killed it.
	 *
	 * @param server - The server.
	 */
	recordUnreachable(server: string): void {
		const {clusterState: beliefs, hostGossip: links, quarantine, log, now} = this.#options;
		const entry = beliefs.servers.findEntry(server);
		const suspects: SuspectCrash[] = this.#recent(server).map(({fingerprint}) => ({
			fingerprint, server, incarnation: entry?.incarnation ?? '', failureDomain: entry?.failureDomain ?? '', age: 0,
		}));
		this.#broken.delete(server);
		if (suspects.length > 0) {
			quarantine.mergeSuspects(suspects, now());
			links.announceCrashes(suspects);
			log.info('server-death', {server, suspects: suspects.length});
		}

		links.announceUnreachable(server);
	}

	#recent(server: string): readonly BrokenRequest[] {
		return (this.#broken.get(server) ?? []).filter(broken => this.#options.now() - broken.at < deathWindow);
	}
}
