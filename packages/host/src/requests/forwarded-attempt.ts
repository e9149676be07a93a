import type {HostDescription} from '@lacewingpoint/coordination';
import type {Milliseconds} from '@lacewingpoint/shared';
import {hostProtocolVersion} from '../members/host-protocol.js';
import {type AttemptRecord, isEventStream, roundTime} from './attempt.js';
import type {Exchange, ExchangeFailure} from './backend-connection-pool.js';
import {type ForwardedHead, decodeForwardedHead} from './forwarded-request.js';
import type {ForwardingOutcome} from './peer-forwarder.js';
import type {PipelineContext} from './pipeline-context.js';
import {type RelayedResponse, oversizedEvent} from './relayed-response.js';
import {outOfTime} from './request-completion.js';
import type {RetryAllowance} from './retry-allowance.js';
import type {RoutedRequest} from './routed-request.js';

/** Subtracted from the time left, so that the peer's response still reaches the client in time. */
const peerTransitTime: Milliseconds = 10;

/**
 * A build that does not know forwarded requests rejects the call with a client error, such as 404 or 415, and has not executed the request.
 * One that does responds with 200 and describes errors in a header.
 */
const isClientError = (status: number) => status >= 400 && status < 500;

/** Statuses with which a peer responds to a request that it or a server may have executed. */
const mayHaveRunStatuses: ReadonlySet<number> = new Set([502, 504]);

/** Called when a forwarded request has ended. */
export type ForwardedAttemptListener = {
	/** The peer's response was passed on completely. */
	onAnswered(status: number): void;
	/** The peer has not executed the request, or could not be reached. */
	onPeerRefused(reason: string, retryAfter: Milliseconds | undefined): void;
	/** The request may have been executed, and another attempt is allowed. */
	onRetry(): void;
	/** No other attempt is allowed. */
	onExhausted(reason: string, retryAfter: Milliseconds | undefined): void;
};

export type ForwardedAttemptOptions = {
	readonly context: PipelineContext;
	readonly request: RoutedRequest;
	readonly response: RelayedResponse;
	readonly retries: RetryAllowance;
	/** The software version at which a stream has to go on. */
	readonly requiredVersion: string | undefined;
	readonly listener: ForwardedAttemptListener;
	onEnded(record: AttemptRecord): void;
};

/** One attempt to have a request executed by a peer, because this host does not reach the servers. */
export class ForwardedAttempt {
	readonly #options: ForwardedAttemptOptions;
	readonly #peer: HostDescription;
	readonly #sentAt: Milliseconds;
	#exchange: Exchange | undefined;
	#head: ForwardedHead | undefined;
	#isEventStream = false;
	#isFinished = false;
	#isPaused = false;

	/**
	 * Sends the request soon.
	 *
	 * @param peer - The peer to which it is sent.
	 * @param options - The request, its response and its retries.
	 */
	constructor(peer: HostDescription, options: ForwardedAttemptOptions) {
		const {context} = options;
		this.#options = options;
		this.#peer = peer;
		this.#sentAt = context.now();
		context.forwarder.recordStart(peer);
		context.arrivals.pass(() => {
			this.#send();
		});
	}

	/** Continues to read the response after the client has caught up. */
	resume(): void {
		if (this.#isPaused) {
			this.#isPaused = false;
			this.#exchange?.resume();
		}
	}

	/**
	 * Ends the attempt, upon which the peer ends its own. The listener is not called.
	 *
	 * @param result - How the attempt ended, for the log.
	 * @returns Whether it was running and the peer may have got the request.
	 */
	abort(result: string): boolean {
		if (this.#isFinished) {
			return false;
		}

		this.#exchange?.abort({isDelivered: false});
		this.#end('aborted', result);
		return this.#exchange !== undefined;
	}

	// Writes the request, unless its client has left meanwhile.
	#send(): void {
		if (this.#isFinished) {
			return;
		}

		const {context, request, response, retries, requiredVersion} = this.#options;
		const {request: clientRequest, body} = request.received;
		this.#exchange = context.forwarder.send(this.#peer, {
			request: {...clientRequest, deadline: Math.max(Math.floor(request.remainingTime() - peerTransitTime), 1), lastEventId: response.lastEventId ?? clientRequest.lastEventId},
			body,
			protocol: hostProtocolVersion,
			origin: context.hostName,
			service: request.service,
			executionsLeft: Math.max(retries.maxServers - retries.executions, 1),
			requiredVersion,
		}, {
			onHead: (status, headers) => {
				this.#onHead(status, decodeForwardedHead(headers));
			},
			onData: chunk => {
				this.#onData(chunk);
			},
			onEnd: () => {
				this.#onEnd();
			},
			onFailure: failure => {
				this.#onFailure(failure);
			},
		});
	}

	#onHead(status: number, head: ForwardedHead | undefined): void {
		if (this.#isFinished) {
			return;
		}

		if (head === undefined && isClientError(status)) {
			this.#onUnable();
			return;
		}

		if (head === undefined) {
			this.#fail('the response is not that of a host');
			return;
		}

		this.#head = head;
		if (head.type === 'refused') {
			return;
		}

		const {context, request, response, retries} = this.#options;
		const headers = Object.fromEntries(head.headers.flatMap((name, index) => index % 2 === 0 ? [[name.toLowerCase(), head.headers[index + 1]]] : []));
		this.#isEventStream = request.isStream && head.status === 200 && isEventStream(headers);
		if (!response.hasStarted) {
			retries.executions++;
			response.start({status: head.status, isEventStream: this.#isEventStream, weightsVersion: undefined}, context.backend.responseHeaders(head.headers));
		} else if (!this.#isEventStream) {
			this.#fail(`the stream was not continued: status ${head.status}`);
		}
	}

	#onUnable(): void {
		const {context, listener} = this.#options;
		this.#exchange?.abort({isDelivered: true});
		context.forwarder.recordUnable(this.#peer);
		this.#end('unable', 'the peer does not know forwarded requests');
		listener.onPeerRefused(`peer ${this.#peer.name} does not know forwarded requests`, undefined);
	}

	#onData(chunk: Uint8Array): void {
		if (this.#isFinished || this.#head?.type !== 'relayed') {
			return;
		}

		if (!this.#options.response.write(chunk, {isEventStream: this.#isEventStream, softwareVersion: undefined})) {
			this.#isPaused = true;
			this.#exchange?.pause();
		}

		if (this.#options.response.hasOversizedEvent) {
			this.#fail(oversizedEvent);
		}
	}

	#onEnd(): void {
		if (this.#isFinished || this.#head === undefined) {
			return;
		}

		const {listener, response, retries} = this.#options;
		if (this.#head.type === 'relayed') {
			if (this.#isEventStream && response.flushEvents() > 0) {
				this.#fail('the stream ended within an event');
				return;
			}

			this.#end('answered', 'whole');
			listener.onAnswered(this.#head.status);
			return;
		}

		const {status, message, retryAfter} = this.#head;
		this.#end('refused', `refused: ${status}, ${message}`);
		if (mayHaveRunStatuses.has(status)) {
			retries.executions++;
			listener.onExhausted(status === 504 ? outOfTime : message, undefined);
		} else {
			listener.onPeerRefused(message, retryAfter);
		}
	}

	#onFailure({wasWritten, reason}: ExchangeFailure): void {
		if (this.#isFinished) {
			return;
		}

		if (wasWritten) {
			this.#fail(reason);
		} else {
			this.#end('unreachable', reason);
			this.#options.listener.onPeerRefused(`peer ${this.#peer.name} could not be reached`, undefined);
		}
	}

	// Ends the attempt after the request may have been executed.
	#fail(reason: string): void {
		const {listener, request, response, retries} = this.#options;
		this.#exchange?.abort({isDelivered: false});
		this.#end('failed', reason);
		if (this.#head === undefined) {
			retries.executions++;
		}

		response.discardPartialEvent();
		if (request.isRetryable && response.canBeContinued && retries.claimAfterFailure()) {
			listener.onRetry();
		} else {
			listener.onExhausted(reason, undefined);
		}
	}

	#end(outcome: ForwardingOutcome, result: string): void {
		const {context, request, onEnded} = this.#options;
		this.#isFinished = true;
		context.forwarder.recordEnd(this.#peer, outcome);
		onEnded({
			server: this.#peer.name,
			isPeer: true,
			at: roundTime(this.#sentAt - request.received.receivedAt),
			result,
			took: roundTime(context.now() - this.#sentAt),
			status: this.#head?.status ?? 0,
		});
	}
}
