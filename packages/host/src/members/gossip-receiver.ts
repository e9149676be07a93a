import type {FleetLink, HostDescription} from '@lacewingpoint/coordination';
import type {Quarantine} from '@lacewingpoint/routing';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import {parseDemandReport} from '../admission/demand-report.js';
import type {ClusterState} from '../state/cluster-state.js';
import type {CrashReportReview} from '../state/crash-report-review.js';
import {mergeRollouts} from '../rollouts/rollout-messages.js';
import type {PromptPartGuard} from '../state/prompt-part-guard.js';
import {mergePaces} from '../state/pace-reporter.js';
import type {HostGossip} from './host-gossip.js';
import type {LinkSelection} from './peer-link.js';
import type {HostMessage} from './host-messages.js';
import {isRecordable, limitAmount, limitHostCount} from './message-amounts.js';

export type GossipReceiverOptions = {
	readonly clusterState: ClusterState;
	readonly gossip: HostGossip;
	readonly quarantine: Quarantine;
	readonly promptPartGuard: PromptPartGuard;
	readonly crashReports: CrashReportReview;
	readonly log: Logger;
	readonly now: () => Milliseconds;
};

/**
 * Merges the messages of linked peers into the cluster state and forwards their events: those of a member to all other peers, those of
 * a relay to the members.
 */
export class GossipReceiver {
	readonly #options: GossipReceiverOptions;
	readonly #clusterState: ClusterState;
	readonly #gossip: HostGossip;
	readonly #now: () => Milliseconds;

	constructor(options: GossipReceiverOptions) {
		this.#options = options;
		this.#clusterState = options.clusterState;
		this.#gossip = options.gossip;
		this.#now = options.now;
	}

	/**
	 * Merges a message.
	 *
	 * @param sender - The peer that sent it.
	 * @param kind - The kind of the peer's link.
	 * @param message - The message.
	 */
	merge(sender: HostDescription, kind: FleetLink['kind'], message: HostMessage): void {
		const recipients: LinkSelection = kind === 'member' ? 'all' : 'member';
		this.#mergeTotals(sender, kind, message);
		this.#applyPlacements(message);
		const {weightsTracker, health} = this.#clusterState;
		const now = this.#now();
		for (const {server, model, version} of message.weights) {
			this.#clusterState.recordObservedVersion(server, model, version);
		}

		for (const {server, time} of message.loading) {
			weightsTracker.recordLoading(server, now + time, now);
		}

		for (const server of message.unreachable) {
			health.applyUnreachableReport(server, now);
		}

		for (const server of message.leaving) {
			const isKnown = this.#clusterState.servers.findEntry(server.id)?.incarnation === server.incarnation;
			if (isKnown && this.#clusterState.serverNotices.recordLeaving(server, now)) {
				this.#options.log.info('server-leaving', {server: server.id, incarnation: server.incarnation, source: sender.name});
			}
		}

		this.#mergeLimits(sender, message, recipients);
		if (mergeRollouts(this.#clusterState.rollouts, message.rollouts ?? [], kind, now)) {
			this.#gossip.recordTotalsChanged('all', sender.name);
		}

		this.#clusterState.streamOrigins.merge(message.origins, now);
		for (const server of message.emptying) {
			weightsTracker.recordRolloutDraining(server, now);
		}

		this.#gossip.forwardEvents({...message, paces: mergePaces(this.#clusterState, message.paces, now)}, sender.name, recipients);
		if (message.deaths.length > 0) {
			void this.#mergeCrashes(sender, message, recipients);
		}

		this.#options.promptPartGuard.mergeReports(sender.name, message, recipients);
	}

	async #mergeCrashes(sender: HostDescription, {deaths}: HostMessage, recipients: LinkSelection): Promise<void> {
		const {crashReports, quarantine, promptPartGuard} = this.#options;
		const reportedAt = this.#now();
		const confirmed = await crashReports.confirm(sender.name, deaths);
		if (confirmed.length === 0) {
			return;
		}

		const reviewTime = this.#now() - reportedAt;
		const suspects = confirmed.map(suspect => ({...suspect, age: suspect.age + reviewTime}));
		quarantine.mergeSuspects(suspects, this.#now());
		promptPartGuard.recordCrashes(suspects);
		this.#gossip.announceCrashes(suspects, sender.name, recipients);
	}

	#mergeTotals(sender: HostDescription, kind: FleetLink['kind'], message: HostMessage): void {
		const {rateLimiter, serverLimits, loads} = this.#clusterState;
		const now = this.#now();
		this.#gossip.recordHostCount(sender.name, limitHostCount(message.hostCount));
		const charged = new Map(Object.entries(message.charged).map(([name, amount]) => [name, limitAmount(amount)]));
		const hasNewCharges = rateLimiter.mergePeerTotals(sender.name, sender.incarnation, charged, now, message.isWhole);
		const hasNewRequests = serverLimits.mergePeerTotals(sender, charged, now, message.isWhole);
		const peerLoads = Object.entries(message.loads).map(([server, amounts]) => {
			const [requests, prefillTokens, memoryTokens] = amounts.map(amount => limitAmount(amount)) as [number, number, number];
			return [server, {requests, prefillTokens, memoryTokens}] as const;
		});
		const hasNewLoads = loads.mergePeerLoads(sender.name, new Map(peerLoads), now, message.isWhole);
		for (const [fingerprint, wait] of message.refused ?? []) {
			this.#clusterState.returningClients.recordRefusal(fingerprint, wait, now, sender.name);
		}

		const demand = message.demand === undefined ? undefined : parseDemandReport(message.demand, message.hostCount);
		if (demand === undefined) {
			this.#clusterState.demand.recordContact(sender.name, now);
		} else {
			this.#clusterState.demand.mergePeer(sender.name, demand, now);
		}

		if (hasNewCharges || hasNewRequests || hasNewLoads || demand !== undefined) {
			this.#gossip.recordTotalsChanged(kind === 'member' ? 'all' : 'member', sender.name);
		}
	}

	#mergeLimits(sender: HostDescription, message: HostMessage, recipients: LinkSelection): void {
		const {servers, serverLimits} = this.#clusterState;
		const known = message.limits.filter(({id, incarnation}) => servers.findEntry(id)?.incarnation === incarnation);
		const changed = serverLimits.mergeReports(known, this.#now());
		for (const {id, incarnation, requestsPerSecond} of changed) {
			this.#options.log.info('server-limit', {
				server: id, incarnation, limit: requestsPerSecond, source: sender.name,
			});
		}

		this.#gossip.announceLimits(changed, sender.name, recipients);
	}

	#applyPlacements(message: HostMessage): void {
		const {promptCache} = this.#clusterState;
		const now = this.#now();
		for (const placement of message.placements.filter(candidate => isRecordable(candidate))) {
			const parts = placement.parts.map(([id, tokens]) => ({id, tokens}));
			for (const [location, availableAfter] of placement.places) {
				if (availableAfter === null) {
					promptCache.removeParts(location, placement.salt, parts);
				} else {
					promptCache.recordParts(location, placement.salt, parts, now + availableAfter);
				}
			}
		}
	}
}
