import type {
	Disposable, Logger, Metrics, Milliseconds,
} from '@lacewingpoint/shared';
import type {HostGossip} from '../members/host-gossip.js';
import type {ControlStore, HostBounds, RolloutProtocol} from '../ports.js';
import type {ClusterState} from '../state/cluster-state.js';
import type {WeightsLease} from '../weights/weights-lease.js';
import {RolloutDecider} from './rollout-decider.js';
import {RolloutRecord} from './rollout-record.js';

/** Time between two decisions. */
const decisionInterval: Milliseconds = 100;

/** Assumed where the deployment names no limit. */
const defaultExposure = {share: 0.1, slack: 50} as const;

export type RolloutControllerOptions = {
	readonly hostName: string;
	readonly clusterState: ClusterState;
	readonly lease: Pick<WeightsLease, 'term'>;
	readonly gossip: HostGossip;
	readonly store: ControlStore;
	readonly protocol: RolloutProtocol | undefined;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
	bounds(): HostBounds;
};

/** Decides the rollouts of all services while this host holds the lease for orders. */
export class RolloutController implements Disposable {
	readonly #options: RolloutControllerOptions;
	readonly #deciders = new Map<string, {readonly term: number; readonly decider: RolloutDecider}>();
	readonly #refused = new Set<string>();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: RolloutControllerOptions) {
		this.#options = options;
	}

	/** Starts the periodic decisions. */
	start(): void {
		this.#timer = setInterval(() => {
			this.review();
		}, decisionInterval);
	}

	/** Goes on with all rollouts. */
	review(): void {
		const {lease, clusterState, protocol} = this.#options;
		const {term} = lease;
		if (term === undefined || protocol === undefined) {
			this.#deciders.clear();
			return;
		}

		if (this.#isCutOff()) {
			return;
		}

		for (const {request} of clusterState.rollouts.list().values()) {
			const known = this.#deciders.get(request.service);
			if (known?.term === term && known.decider.request.id === request.id) {
				known.decider.review();
			} else if (this.#isKnownService(request.service, request.id)) {
				this.#deciders.set(request.service, {term, decider: this.#createDecider(request, term, protocol)});
			}
		}
	}

	dispose(): void {
		clearInterval(this.#timer);
		this.#deciders.clear();
	}

	// Whether this host reaches the store, but has lost touch with the hosts whose answers and running requests it would have to know.
	#isCutOff(): boolean {
		const {clusterState: {hosts}, hostName, now} = this.#options;
		const hearsOthers = hosts.listAlive(now()).some(({description}) => description.name !== hostName);
		return !hearsOthers && hosts.listUnresponsive(now()).some(name => name !== hostName);
	}

	#createDecider(request: RolloutDecider['request'], term: number, protocol: RolloutProtocol): RolloutDecider {
		const {clusterState, gossip, store, log, metrics, now, lease, bounds} = this.#options;
		const {exposureShare = defaultExposure.share, exposureSlack = defaultExposure.slack} = bounds();
		return new RolloutDecider(request, {
			clusterState, gossip, record: new RolloutRecord(store, protocol), term, exposureShare, exposureSlack, log, metrics, now, isInOffice: () => lease.term === term,
		});
	}

	#isKnownService(service: string, id: string): boolean {
		const {clusterState, log} = this.#options;
		const isKnown = clusterState.configuration?.services.some(({name}) => name === service) === true;
		if (!isKnown && clusterState.configuration !== undefined && !this.#refused.has(id)) {
			this.#refused.add(id);
			log.warn('rollout-refused', {service, request: id, reason: 'the configuration has no service of this name'});
		}

		return isKnown;
	}
}
