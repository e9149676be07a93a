import type {Quarantine, ServerEntry, SuspectCrash} from '@lacewingpoint/routing';
import {type Logger, type Milliseconds, hashText} from '@lacewingpoint/shared';
import type {HostGossip} from '../members/host-gossip.js';
import type {ConnectionTarget} from '../requests/backend-connection-pool.js';
import type {ClusterState} from './cluster-state.js';
import type {PromptPartGuard} from './prompt-part-guard.js';
import type {ServerLinkMonitor} from './server-link-monitor.js';
import type {ServerWitnesses} from './server-witnesses.js';

/** A server that becomes unreachable within this time after a request was broken off is assumed to have crashed. */
const crashWindow: Milliseconds = 1500;

/** Time from a broken request to the connection attempt that shows whether the server crashed: a crash closes its port a moment later. */
const probeDelay: Milliseconds = 20;

/** Limit on the requests that the log event of a crash lists. */
const maximumLoggedRequests = 8;

/** A request that a server broke off. */
export type BrokenRequest = {
	readonly id: string;
	/** Hash of the request's content and workspace. */
	readonly fingerprint: number;
	/** Ids of the prompt parts that the request may share with others. */
	readonly sharedParts: readonly string[];
	/** Whether the server had survived the beginning of its response, so that no part of the prompt made it crash. */
	readonly hasSurvivedResponse: boolean;
};

type RecordedBreak = BrokenRequest & {readonly brokenAt: Milliseconds};

export type ServerCrashDetectorOptions = {
	readonly clusterState: ClusterState;
	readonly hostGossip: HostGossip;
	readonly quarantine: Quarantine;
	readonly promptPartGuard: PromptPartGuard;
	readonly serverLinks: ServerLinkMonitor;
	readonly witnesses: ServerWitnesses;
	readonly log: Logger;
	readonly now: () => Milliseconds;
	/** @returns Whether the server accepts a connection. */
	canConnect(server: ConnectionTarget): Promise<boolean>;
};

/**
 * Finds the requests that may have crashed a server. A connection reset alone is not enough, as only the response may have been lost; the
 * server must also refuse connections, and peers must not reach it either: it may be this host's link that is lost. A server that was
 * overloaded is not crashed by a request.
 */
export class ServerCrashDetector {
	readonly #options: ServerCrashDetectorOptions;
	/** Servers that are about to be probed. */
	readonly #probed = new Set<string>();
	readonly #brokenRequests = new Map<string, readonly RecordedBreak[]>();

	constructor(options: ServerCrashDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Records that a server broke off a request that it may have executed.
	 *
	 * @param server - The server's id.
	 * @param request - The request.
	 */
	recordBrokenRequest(server: string, request: BrokenRequest): void {
		this.#brokenRequests.set(server, [...this.#recentBrokenRequests(server), {...request, brokenAt: this.#options.now()}]);
		if (!this.#probed.has(server)) {
			this.#probed.add(server);
			setTimeout(() => {
				void this.#probe(server);
			}, probeDelay);
		}
	}

	/**
	 * Records that a server is unreachable. The requests that it broke off just before are suspected of having crashed it.
	 *
	 * @param server - The server's id.
	 */
	recordUnreachable(server: string): void {
		const {clusterState, hostGossip, serverLinks} = this.#options;
		const brokenRequests = this.#recentBrokenRequests(server);
		this.#brokenRequests.delete(server);
		serverLinks.recordFailure(server);
		if (serverLinks.isDetached) {
			return;
		}

		const entry = clusterState.servers.findEntry(server);
		if (brokenRequests.length > 0 && entry !== undefined) {
			void this.#attributeCrash(entry, brokenRequests);
		}

		hostGossip.announceUnreachable(server);
	}

	// The requests are suspected unless peers know another cause.
	async #attributeCrash(entry: ServerEntry, brokenRequests: readonly RecordedBreak[]): Promise<void> {
		const {
			clusterState, hostGossip, quarantine, promptPartGuard, witnesses, log, now,
		} = this.#options;
		const {id: server, incarnation, failureDomain} = entry;
		const cause = await witnesses.findCause(entry, brokenRequests[0]!.brokenAt);
		log.info('server-death', {
			server,
			incarnation,
			cause,
			suspects: cause === 'crashed' ? brokenRequests.length : 0,
			requests: brokenRequests.slice(0, maximumLoggedRequests).map(({id, fingerprint, sharedParts, brokenAt}) => ({
				id, fingerprint: fingerprint.toString(16), parts: sharedParts, brokenSince: Math.round(now() - brokenAt),
			})),
		});
		if (cause !== 'crashed') {
			return;
		}

		// A server that has announced its end is not crashed by a prompt.
		const isEndExpected = entry.isDraining || clusterState.serverNotices.isLeaving(entry);
		const suspects: SuspectCrash[] = brokenRequests.map(({fingerprint, sharedParts, hasSurvivedResponse, brokenAt}) => ({
			fingerprint,
			parts: isEndExpected || hasSurvivedResponse ? [] : sharedParts.map(id => hashText(id)),
			server,
			incarnation,
			failureDomain,
			age: now() - brokenAt,
		}));
		quarantine.mergeSuspects(suspects, now());
		promptPartGuard.recordCrashes(suspects);
		hostGossip.announceCrashes(suspects);
	}

	async #probe(server: string): Promise<void> {
		const {clusterState, log, now, canConnect} = this.#options;
		this.#probed.delete(server);
		const entry = clusterState.servers.findEntry(server);
		const [firstBroken] = this.#recentBrokenRequests(server);
		if (entry === undefined || firstBroken === undefined || clusterState.health.hasSentSince(server, firstBroken.brokenAt) || await canConnect(entry)) {
			return;
		}

		log.info('server-unreachable', {server, reason: 'refused a connection after it broke off a request', id: firstBroken.id});
		clusterState.health.recordUnreachable(server, now());
		this.recordUnreachable(server);
	}

	#recentBrokenRequests(server: string): readonly RecordedBreak[] {
		return (this.#brokenRequests.get(server) ?? []).filter(request => this.#options.now() - request.brokenAt < crashWindow);
	}
}
