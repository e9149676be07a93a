import {
	type ExecutedPart, type QuarantinedPart, type SuspectCrash, PromptPartQuarantine, defaultPromptPartQuarantineOptions,
} from '@lacewingpoint/routing';
import {
	type Logger, type Metrics, type Milliseconds, hashText, rankByRendezvous,
} from '@lacewingpoint/shared';
import type {HostGossip} from '../members/host-gossip.js';
import type {LinkSelection} from '../members/peer-link.js';
import type {HostMessage} from '../members/host-messages.js';
import type {ClusterState} from './cluster-state.js';

export type PromptPartGuardOptions = {
	readonly hostName: string;
	readonly clusterState: ClusterState;
	readonly gossip: HostGossip;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
};

/** Keeps requests with a prompt part that crashes servers from them, on the evidence of all hosts. */
export class PromptPartGuard {
	readonly #options: PromptPartGuardOptions;
	readonly #quarantine = new PromptPartQuarantine(defaultPromptPartQuarantineOptions);

	constructor(options: PromptPartGuardOptions) {
		this.#options = options;
	}

	/** The number of quarantined parts. */
	get quarantinedCount(): number {
		return this.#quarantine.quarantinedCount;
	}

	/**
	 * Records crashes that this host observed or a peer reported.
	 *
	 * @param suspects - One entry for each request in flight.
	 */
	recordCrashes(suspects: readonly SuspectCrash[]): void {
		this.#announce(this.#quarantine.recordCrashes(suspects, this.#options.now()));
	}

	/**
	 * Records that a server has responded to a request and survived it.
	 *
	 * @param partIds - Ids of the prompt parts that other requests may share.
	 * @param beganAt - Monotonic time at which the response began.
	 */
	recordExecution(partIds: readonly string[], beganAt: Milliseconds): void {
		if (partIds.length > 0) {
			this.#announce(this.#quarantine.recordExecution(partIds.map(id => hashText(id)), beganAt, this.#options.now()));
		}
	}

	/**
	 * Decides whether a request may be sent to a server.
	 *
	 * @param partIds - Ids of the prompt parts that other requests may share.
	 * @returns The decision; for a refused request with the id of the quarantined part.
	 */
	admit(partIds: readonly string[]): {readonly type: 'clear' | 'trial'} | {readonly type: 'quarantined'; readonly partId: string} {
		if (this.#quarantine.quarantinedCount === 0) {
			return {type: 'clear'};
		}

		const admission = this.#quarantine.admit(partIds.map(id => hashText(id)), this.#options.now(), part => this.#isTrialHost(part));
		if (admission.type === 'quarantined') {
			return {type: 'quarantined', partId: partIds.find(id => hashText(id) === admission.part)!};
		}

		if (admission.type === 'trial') {
			this.#options.log.info('part-trial', {part: admission.part.toString(16)});
		}

		return {type: admission.type};
	}

	/**
	 * Merges what a peer reports of executed and quarantined parts.
	 *
	 * @param sender - The peer's name.
	 * @param message - The peer's message.
	 * @param recipients - The peers to which new reports are forwarded.
	 */
	mergeReports(sender: string, message: Pick<HostMessage, 'executed' | 'quarantined'>, recipients: LinkSelection): void {
		const now = this.#options.now();
		this.#options.gossip.announceExecutedParts(this.#quarantine.mergeExecutions(message.executed, now), sender, recipients);
		this.#announce(this.#quarantine.mergeQuarantined(message.quarantined, now));
	}

	/** @returns The quarantined parts, for the peers. */
	listQuarantined(): QuarantinedPart[] {
		return this.#quarantine.listQuarantined(this.#options.now());
	}

	/** Attributes the crashes to prompt parts. Called periodically. */
	review(): void {
		const {log, metrics, now} = this.#options;
		for (const {part, crashCount, lastCrashAt} of this.#quarantine.review(now())) {
			metrics.incrementCounter('prompt_part_quarantines');
			log.warn('part-quarantined', {part: part.toString(16), crashes: crashCount, sinceCrash: Math.round(now() - lastCrashAt)});
		}
	}

	#announce(executed: readonly ExecutedPart[]): void {
		this.#options.gossip.announceExecutedParts(executed);
	}

	// One host tries a quarantined part again, so that a failed trial crashes one server.
	#isTrialHost(part: number): boolean {
		const {hostName, clusterState, now} = this.#options;
		const names = clusterState.hosts.listServing(now()).map(({name}) => name).filter(name => name !== hostName);
		return rankByRendezvous(part.toString(16), [hostName, ...names])[0] === hostName;
	}
}
