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

/** Reads from all responses of servers whether they are leaving, want no requests for some time, or limit their rate. */
export class ServerNoticeRecorder {
	readonly #options: ServerNoticeRecorderOptions;

	constructor(options: ServerNoticeRecorderOptions) {
		this.#options = options;
	}

	/**
	 * Records what a response says of its server.
	 *
	 * @param target - The server that the request was sent to.
	 * @param status - Status of the response.
	 * @param headers - Headers of the response.
	 * @param sentAt - Monotonic time at which the request was sent.
	 */
	recordResponse(target: ConnectionTarget, status: number, headers: Readonly<Record<string, string | string[] | undefined>>, sentAt: Milliseconds): void {
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

		this.#recordLimit(target, notice, sentAt);
		this.#recordBrittleness(target, notice);
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
		clusterState.learnedCapacity.recordRejection(target, clusterState.loads.totalLoad(target.id, now()).requests, now());
		metrics.incrementCounter('server_pauses', {outcome: 'applied'});
		log.info('server-pause', {
			server: target.id, outcome: 'applied', asked: notice.pause, duration: Math.round(duration), capacity: clusterState.learnedCapacity.limit(target, now()),
		});
	}

	#recordBrittleness(target: ConnectionTarget, {survivableRejections, isStamped, instanceId}: ServerNotice): void {
		const {clusterState, log, now} = this.#options;
		if (Number.isNaN(survivableRejections)) {
			log.warn('server-brittle', {server: target.id, outcome: 'ignored'});
			return;
		}

		const isKnownSender = isStamped || instanceId === target.id;
		if ((survivableRejections !== undefined || isKnownSender) && clusterState.brittleServers.recordResponse(target, survivableRejections, now())) {
			log.info('server-brittle', {server: target.id, incarnation: target.incarnation, rejections: survivableRejections ?? null});
		}
	}

	#recordLimit(target: ConnectionTarget, {requestsPerSecond, isStamped, instanceId}: ServerNotice, sentAt: Milliseconds): void {
		const {clusterState, gossip, log, now} = this.#options;
		if (Number.isNaN(requestsPerSecond)) {
			log.warn('server-limit', {server: target.id, outcome: 'ignored'});
			return;
		}

		// The absence of a limit counts only in a response that is known to come from the server.
		if (requestsPerSecond === undefined && !isStamped && instanceId !== target.id) {
			return;
		}

		const {id, incarnation} = target;
		const before = clusterState.serverLimits.findRequestsPerSecond(target);
		const report = clusterState.serverLimits.recordResponse({id, incarnation}, requestsPerSecond, {sentAt, now: now()});
		if (report !== undefined) {
			log.info('server-limit', {
				server: id, incarnation, limit: report.requestsPerSecond, before: before ?? null, source: 'response',
			});
			gossip.announceLimits([report]);
		}
	}
}
