import type {Route} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ChosenServer} from '../placement/placement-request.js';
import type {HeaderList, ResponseHead} from '../ports.js';
import {
	type Attempt, type AttemptListener, type AttemptRecord, isEventStream, responseFraming,
} from './attempt.js';
import {AttemptLedger} from './attempt-ledger.js';
import type {ExchangeFailure, ResponseEnding} from './backend-connection-pool.js';
import type {PipelineContext} from './pipeline-context.js';
import type {RelayedResponse} from './relayed-response.js';
import {sharedPartIds} from './request-admission.js';
import type {AttemptProgress} from './request-completion.js';
import {identifyRefusal, isCredibleRefusal} from './refusal.js';
import {ResponseObserver} from './response-observer.js';
import type {RetryAllowance} from './retry-allowance.js';
import type {RoutedRequest} from './routed-request.js';
import {createServerRequest} from './server-request.js';
import {StallDetector} from './stall-detector.js';
import type {TriedServers} from './tried-servers.js';
import {defaultRetryAfter, limitRetryAfter, minimumRemainingTime} from './wait-decision.js';

/** A server that has requests in flight and has sent no data for this long is considered crashed. */
const serverStallTimeout: Milliseconds = 350;

/**
 * A model server that rejects a request while a newer target version of its weights is known is assumed to be loading that version.
 * It gets no requests for this long, unless the holder of the weights lease announces its state earlier.
 */
const assumedLoadingTime: Milliseconds = 300;

/** A server that has sent anything, in any response, this long after a request was written has received the request. */
const deliveryTime: Milliseconds = 50;

/** Status of a server that has no capacity for a request. */
const rejectedStatus = 503;

export type AttemptRunnerOptions = {
	readonly context: PipelineContext;
	readonly request: RoutedRequest;
	readonly route: Route;
	readonly response: RelayedResponse;
	readonly retries: RetryAllowance;
	readonly triedServers: TriedServers;
	readonly listener: AttemptListener;
};

/** Makes the attempts of one request, one at a time: sends it to a server, relays the response and decides whether a failure allows another. */
export class AttemptRunner implements AttemptProgress {
	readonly #options: AttemptRunnerOptions;
	readonly #context: PipelineContext;
	readonly #request: RoutedRequest;
	readonly #response: RelayedResponse;
	readonly #retries: RetryAllowance;
	readonly #responseObserver: ResponseObserver;
	readonly #ledger: AttemptLedger;
	readonly #stallDetector = new StallDetector((duration, isFinal) => {
		this.#onStall(duration, isFinal);
	});

	#attempt: Attempt | undefined;
	#isPaused = false;

	constructor(options: AttemptRunnerOptions) {
		this.#options = options;
		this.#context = options.context;
		this.#request = options.request;
		this.#response = options.response;
		this.#retries = options.retries;
		this.#ledger = new AttemptLedger(options.context, options.request.received, options.route.name);
		this.#responseObserver = new ResponseObserver({
			context: options.context, received: options.request.received, route: options.route, service: options.request.service, isStream: options.request.isStream,
		});
	}

	get executions(): number {
		return this.#retries.executions;
	}

	get firstSentAt(): Milliseconds | undefined {
		return this.#ledger.firstSentAt;
	}

	get firstByteAt(): Milliseconds | undefined {
		return this.#responseObserver.firstByteAt;
	}

	get records(): readonly AttemptRecord[] {
		return this.#ledger.records;
	}

	/**
	 * Sends the request to a server. No other attempt may be running.
	 *
	 * @param chosen - The server.
	 */
	run(chosen: ChosenServer): void {
		const attempt = this.#ledger.begin(chosen);
		this.#attempt = attempt;
		this.#retries.attempts++;
		this.#context.arrivals.pass(() => {
			// Its client may have left meanwhile.
			if (!attempt.isFinished) {
				this.#send(attempt);
			}
		});
		this.#updateStallDetector(attempt);
	}

	/** Continues to read the response after the client has caught up. */
	resume(): void {
		if (this.#isPaused) {
			this.#isPaused = false;
			this.#attempt?.exchange?.resume();
		}
	}

	/**
	 * Ends the running attempt, if there is one. The listener is not called.
	 *
	 * @param result - How the attempt ended, for the log.
	 * @returns Whether an attempt was running that the server may have executed.
	 */
	abort(result: string): boolean {
		const attempt = this.#attempt;
		if (attempt === undefined || attempt.isFinished) {
			return false;
		}

		if (!attempt.isSent) {
			this.#endAttempt(attempt, `not sent: ${result}`);
			return false;
		}

		const {clusterState, now} = this.#context;
		const {id} = attempt.chosen.entry;
		attempt.silentTime = clusterState.health.stallDuration(id, now());
		attempt.exchange?.abort({isDelivered: clusterState.health.hasSentSince(id, attempt.sentAt + deliveryTime)});
		this.#endAttempt(attempt, result);
		return true;
	}

	/**
	 * Adds an attempt that was forwarded to a peer, for the log.
	 *
	 * @param record - How it ended.
	 */
	addRecord(record: AttemptRecord): void {
		this.#ledger.addRecord(record);
	}

	/** Stops watching for stalls. */
	stopDetector(): void {
		this.#stallDetector.stop();
	}

	// Writes the request, unless the server has begun to leave meanwhile.
	#send(attempt: Attempt): void {
		const {backend, connections, dispatcher} = this.#context;
		const {chosen} = attempt;
		if (!dispatcher.serverFilter.isAvailable(chosen.entry)) {
			this.#endAttempt(attempt, 'not sent: the server is leaving');
			this.#retries.attempts--;
			this.#options.listener.onRetry();
			return;
		}

		attempt.isSent = true;
		attempt.exchange = connections.send(chosen.entry, createServerRequest(backend, this.#request, chosen, this.#response.lastEventId), {
			onHead: (status, responseHeaders, rawHeaders) => {
				this.#onHead(attempt, status, responseHeaders, rawHeaders);
			},
			onData: chunk => {
				this.#onData(attempt, chunk);
			},
			onEnd: ending => {
				this.#onEnd(attempt, ending);
			},
			onFailure: failure => {
				if (attempt === this.#attempt) {
					this.#onFailure(failure);
				}
			},
		});
	}

	#updateStallDetector(attempt: Attempt): void {
		const {isRetryable, isStream} = this.#request;
		if (!isRetryable || !this.#response.canBeContinued || this.#retries.isLastExecution) {
			this.#stallDetector.stop();
		} else if (!attempt.hasFirstByte) {
			this.#stallDetector.awaitFirstByte(this.#options.route.objective, attempt.chosen.engine?.predictedTimeToFirstToken ?? 0);
		} else if (isStream) {
			this.#stallDetector.awaitNextEvent();
		} else {
			this.#stallDetector.stop();
		}
	}

	#onStall(duration: Milliseconds, isFinal: boolean): void {
		const attempt = this.#attempt;
		if (attempt?.isSent !== true || attempt.isFinished || this.#isPaused || this.#request.remainingTime() < this.#options.route.objective / 2) {
			return;
		}

		const {clusterState, now} = this.#context;
		const isServerStalled = clusterState.health.stallDuration(attempt.chosen.entry.id, now()) >= serverStallTimeout;
		if (isServerStalled || isFinal) {
			this.#onFailure({wasWritten: true, reason: `no data for ${Math.round(duration)} ms`}, isServerStalled);
		}
	}

	#onHead(attempt: Attempt, status: number, headers: Readonly<Record<string, string | string[] | undefined>>, rawHeaders: HeaderList): void {
		const {backend, clusterState, metrics, now} = this.#context;
		const {request} = this.#request.received;
		const head = backend.parseResponseHead(status, headers);
		const {entry} = attempt.chosen;
		clusterState.health.recordDataReceived(entry.id, now());
		attempt.head = head;
		attempt.status = status;
		attempt.isEventStream = this.#request.isStream && status === 200 && isEventStream(headers);
		if (head.weightsVersion !== undefined && request.generation !== undefined && (head.instanceId ?? entry.id) === entry.id) {
			clusterState.recordObservedVersion(entry.id, request.generation.model, head.weightsVersion);
		}

		if (head.isNotExecuted && isCredibleRefusal(head, attempt, this.#request, metrics)) {
			this.#onNotExecuted(attempt, head);
			return;
		}

		if (head.requestId !== request.id || !head.hasServerStamp) {
			this.#onFailure({wasWritten: true, reason: head.hasServerStamp || head.isNotExecuted ? 'response to another request' : `response ${status} without a server stamp`});
			return;
		}

		this.#retries.executions++;
		if (status >= 500 && this.#options.route.repeatability === 'idempotent' && this.#claimRetry()) {
			this.#retries.executions--;
			this.#onFailure({wasWritten: true, reason: `server responded with status ${status}`});
			return;
		}

		if (this.#response.hasStarted) {
			// The client already has the response head of the first server; only the resumed events are relayed.
			if (!attempt.isEventStream) {
				this.#onFailure({wasWritten: true, reason: `the stream was not continued: status ${status}, ${String(headers['content-type'])}`});
			}

			return;
		}

		clusterState.health.recordOutcome(entry.id, false, now());
		attempt.framing = responseFraming(headers);
		this.#response.start({status, isEventStream: attempt.isEventStream, weightsVersion: attempt.chosen.engine?.weightsVersion}, backend.responseHeaders(rawHeaders));
	}

	#onData(attempt: Attempt, chunk: Uint8Array): void {
		if (attempt.isFinished || attempt.head === undefined || attempt !== this.#attempt) {
			return;
		}

		this.#responseObserver.recordData(attempt);
		this.#updateStallDetector(attempt);
		if (!this.#response.write(chunk, {isEventStream: attempt.isEventStream, softwareVersion: attempt.chosen.entry.softwareVersion ?? ''})) {
			this.#isPaused = true;
			attempt.exchange?.pause();
		}
	}

	#onEnd(attempt: Attempt, ending: ResponseEnding): void {
		if (attempt.isFinished || attempt !== this.#attempt) {
			return;
		}

		attempt.resetCheck = ending.resetCheck;
		if (ending.resetCheck !== undefined) {
			this.#context.metrics.incrementCounter('close_delimited_responses', {reset_check: ending.resetCheck});
		}

		if (attempt.isEventStream) {
			attempt.partialEventBytes = this.#response.flushEvents();
			if (attempt.partialEventBytes > 0) {
				this.#onFailure({wasWritten: true, reason: 'the stream ended within an event'});
				return;
			}
		}

		this.#endAttempt(attempt, 'whole');
		this.#context.quarantine.clearRequest(this.#request.fingerprint);
		this.#responseObserver.recordSurvival(attempt);
		this.#options.listener.onAnswered(attempt.status);
	}

	#onNotExecuted(attempt: Attempt, head: ResponseHead): void {
		const {clusterState, now} = this.#context;
		const {entry, engine} = attempt.chosen;
		if (attempt.status === rejectedStatus) {
			clusterState.health.recordRejection(entry.id, now());
		}

		if (head.isMisdirected && head.instanceId !== undefined && head.instanceId !== entry.id) {
			clusterState.health.recordUnreachable(entry.id, now());
		}

		if (engine !== undefined && clusterState.weightsTracker.outdatedTime(this.#request.received.request.generation!.model, engine.weightsVersion, now()) > 0) {
			clusterState.weightsTracker.recordLoading(entry.id, now() + assumedLoadingTime, now());
		}

		this.#options.triedServers.recordRefusal(entry.id);
		this.#endAttempt(attempt, `not run (${attempt.status}, id: ${identifyRefusal(head, this.#request.received.request.id)})`);
		attempt.exchange?.abort({isDelivered: true});
		if (this.#retries.claimAfterRejection()) {
			this.#options.listener.onRetry();
		} else {
			this.#options.listener.onExhausted('servers refused the request', limitRetryAfter(defaultRetryAfter, this.#request.remainingTime()));
		}
	}

	// Checks whether another attempt is allowed; if so, takes it from the retry budget.
	#claimRetry(): boolean {
		return this.#request.isRetryable
			&& this.#response.canBeContinued
			&& this.#request.remainingTime() > minimumRemainingTime
			&& this.#retries.claimAfterFailure();
	}

	#onFailure(failure: ExchangeFailure, isServerStalled = false): void {
		const attempt = this.#attempt;
		if (attempt === undefined) {
			return;
		}

		attempt.isUnreachable ||= !failure.wasWritten;
		if (!this.abort(failure.reason)) {
			return;
		}

		if (failure.wasWritten) {
			this.#onExecutionFailed(attempt, failure.reason, isServerStalled);
		} else {
			this.#onUnreachable(attempt, failure.reason);
		}
	}

	#onUnreachable(attempt: Attempt, reason: string): void {
		const server = attempt.chosen.entry.id;
		this.#recordUnreachable(server);
		this.#context.log.info('server-unreachable', {server, reason, id: this.#request.received.request.id});
		this.#options.listener.onUnreachable();
	}

	#onExecutionFailed(attempt: Attempt, reason: string, isServerStalled: boolean): void {
		const {clusterState, now} = this.#context;
		const {received, fingerprint} = this.#request;
		const server = attempt.chosen.entry.id;
		clusterState.health.recordOutcome(server, true, now());
		this.#context.onAttemptFailed(server, {
			id: received.request.id, fingerprint, sharedParts: sharedPartIds(received.request), hasSurvivedResponse: attempt.hasSurvivedResponse,
		});
		if (isServerStalled) {
			this.#recordUnreachable(server);
		}

		const countsAsExecution = attempt.head === undefined || !this.#response.hasStarted || attempt.status === 0;
		if (countsAsExecution) {
			this.#retries.executions++;
		}

		this.#response.discardPartialEvent();
		if (this.#claimRetry()) {
			this.#options.listener.onRetry();
		} else {
			this.#options.listener.onExhausted(reason, undefined);
		}
	}

	#recordUnreachable(server: string): void {
		this.#context.clusterState.health.recordUnreachable(server, this.#context.now());
		this.#context.onServerUnreachable(server);
	}

	#endAttempt(attempt: Attempt, result: string): void {
		if (attempt.isFinished) {
			return;
		}

		attempt.isFinished = true;
		this.#stallDetector.stop();
		this.#ledger.end(attempt, result);
	}
}
