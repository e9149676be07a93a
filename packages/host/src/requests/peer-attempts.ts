import type {AttemptRecord} from './attempt.js';
import {ForwardedAttempt, type ForwardedAttemptListener} from './forwarded-attempt.js';
import type {PipelineContext} from './pipeline-context.js';
import type {RelayedResponse} from './relayed-response.js';
import type {RetryAllowance} from './retry-allowance.js';
import type {RoutedRequest} from './routed-request.js';
import {minimumRemainingTime} from './wait-decision.js';

/** The number of peers to which a request is sent. */
const maximumPeers = 3;

export type PeerAttemptsOptions = {
	readonly context: PipelineContext;
	readonly request: RoutedRequest;
	readonly response: RelayedResponse;
	readonly listener: ForwardedAttemptListener;
	onEnded(record: AttemptRecord): void;
};

/** The attempts to have a request executed by peers, one at a time and each by another one. */
export class PeerAttempts {
	readonly #options: PeerAttemptsOptions;
	readonly #triedPeers = new Set<string>();
	#attempt: ForwardedAttempt | undefined;

	constructor(options: PeerAttemptsOptions) {
		this.#options = options;
	}

	/**
	 * Sends the request to a peer that reaches servers, unless it has come from a peer.
	 *
	 * @param retries - The executions that are left.
	 * @param requiredVersion - The software version at which a stream has to go on.
	 * @returns Whether it is sent.
	 */
	forward(retries: RetryAllowance, requiredVersion: string | undefined): boolean {
		const {context, request} = this.#options;
		if (request.received.forwarding !== undefined || this.#triedPeers.size >= maximumPeers || request.remainingTime() < minimumRemainingTime) {
			return false;
		}

		const peer = context.forwarder.choosePeer(this.#triedPeers);
		if (peer === undefined) {
			return false;
		}

		this.#triedPeers.add(peer.name);
		this.#attempt = new ForwardedAttempt(peer, {...this.#options, retries, requiredVersion});
		return true;
	}

	/** Continues to read the response after the client has caught up. */
	resume(): void {
		this.#attempt?.resume();
	}

	/**
	 * Ends the running attempt, if there is one. The listener is not called.
	 *
	 * @param result - How it ended, for the log.
	 * @returns Whether it was running and the peer may have got the request.
	 */
	abort(result: string): boolean {
		return this.#attempt?.abort(result) === true;
	}
}
