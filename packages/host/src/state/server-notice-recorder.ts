import type {
	Logger, Metrics, Milliseconds, RandomSource,
} from '@lacewingpoint/shared';
import type {HostGossip} from '../members/host-gossip.js';
import type {BackendProtocol, ServerNotice} from '../ports.js';
import type {ConnectionTarget} from '../requests/backend-connection-pool.js';
import type {ClusterState} from './cluster-state.js';

/** Longer pauses are assumed to be a mistake of the server. */
const longestPause: Milliseconds = 300_000;

/** Each host extends a pause by a random share up to this one, so that not all hosts send again at the same moment. */
const largestExtension = 0.1;

export type ServerNoticeRecorderOptions = {
	readonly backend: BackendProtocol;
	readonly clusterState: ClusterState;
	readonly gossip: HostGossip;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
};

/** Reads from all responses of servers whether they are leaving or want no requests for some time. */
export class ServerNoticeRecorder {
	readonly #options: ServerNoticeRecorderOptions;
	/** The limit that each server named in its latest response. */
	readonly #namedLimits = new Map<string, number>();

	constructor(options: ServerNoticeRecorderOptions) {
		this.#options = options;
	}

	/**
	 * Records what a response says of its server.
	 *
	 * @param target - The server that the request was sent to.
	 * @param status - Status of the response.
	 * @param headers - Headers of the response.
	 */
	recordResponse(target: ConnectionTarget, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
		const {backend, clusterState, gossip, log, metrics, random, now} = this.#options;
		const notice = backend.parseServerNotice(status, headers);
		// The response may come from another server that has taken over the address.
		if ((notice.instanceId ?? target.id) !== target.id) {
			return;
		}

		if (notice.isLeaving && clusterState.serverNotices.recordLeaving(target, now())) {
			metrics.incrementCounter('server_leavings');
			log.info('server-leaving', {
				server: target.id, incarnation: target.incarnation, status, source: 'response',
			});
			gossip.announceLeaving(target);
		}

		this.#recordLimit(target, status, notice);
		if (notice.pause === undefined) {
			return;
		}

		if (Number.isNaN(notice.pause) || notice.pause > longestPause) {
			metrics.incrementCounter('server_pauses', {outcome: 'ignored'});
			log.warn('server-pause', {server: target.id, outcome: 'ignored', value: String(headers['retry-after'])});
			return;
		}

		const duration = notice.pause * (1 + (random.next() * largestExtension));
		clusterState.serverNotices.recordPause(target, now() + duration, now());
		metrics.incrementCounter('server_pauses', {outcome: 'applied'});
		log.info('server-pause', {
			server: target.id, outcome: 'applied', asked: notice.pause, duration: Math.round(duration),
		});
	}

	#recordLimit(target: ConnectionTarget, status: number, {requestsPerSecond, isStamped, instanceId}: ServerNotice): void {
		const known = this.#namedLimits.get(target.id);
		const isEnd = requestsPerSecond === undefined && (isStamped || instanceId === target.id);
		if (known === requestsPerSecond || (requestsPerSecond === undefined && !isEnd)) {
			return;
		}

		if (requestsPerSecond === undefined) {
			this.#namedLimits.delete(target.id);
		} else {
			this.#namedLimits.set(target.id, requestsPerSecond);
		}

		this.#options.log.info('server-limit', {
			server: target.id, incarnation: target.incarnation, status, limit: requestsPerSecond ?? null, before: known ?? null, source: 'response',
		});
	}
}
