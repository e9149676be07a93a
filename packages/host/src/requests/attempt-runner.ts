import type {Milliseconds} from '@lacewingpoint/shared';
import type {ChosenServer} from '../placement/placement-request.js';
import type {HeaderList, ResponseHead} from '../ports.js';
import {type Attempt, type AttemptRecord, responseFraming} from './attempt.js';
import {AttemptLedger} from './attempt-ledger.js';
import {
	abortExchange, recordFailedExecution, recordHead, recordUnreachable,
} from './attempt-records.js';
import type {ExchangeFailure, ResponseEnding} from './backend-connection-pool.js';
import type {PipelineContext} from './pipeline-context.js';
import type {AttemptRunnerOptions} from './attempt-runner-options.js';
import {type RelayedResponse, oversizedEvent} from './relayed-response.js';
import type {AttemptProgress} from './request-completion.js';
import {identifyRefusal, isCredibleRefusal, recordRefusal} from './refusal.js';
import {ResponseObserver} from './response-observer.js';
import type {RetryAllowance} from './retry-allowance.js';
import type {RoutedRequest} from './routed-request.js';
import {SecondTry} from './second-try.js';
import {createServerRequest} from './server-request.js';
import {StallWatch} from './stall-watch.js';
import {defaultRetryAfter, limitRetryAfter, minimumRemainingTime} from './wait-decision.js';

/** Makes the attempts of one request, one at a time: sends it to a server, relays the response and decides whether a failure allows another. */
export class AttemptRunner implements AttemptProgress {
	/** The attempts so far; those that were forwarded to peers are added to it. */
	readonly ledger: AttemptLedger;
	readonly #options: AttemptRunnerOptions;
	readonly #context: PipelineContext;
	readonly #request: RoutedRequest;
	readonly #response: RelayedResponse;
	readonly #retries: RetryAllowance;
	readonly #responseObserver: ResponseObserver;
	readonly #secondTry: SecondTry;
	readonly #stallWatch: StallWatch;
	#attempt: Attempt | undefined;
	#isPaused = false;

	constructor(options: AttemptRunnerOptions) {
		this.#options = options;
		this.#context = options.context;
		this.#request = options.request;
		this.#response = options.response;
		this.#retries = options.retries;
		this.#stallWatch = new StallWatch({
			context: options.context,
			request: options.request,
			route: options.route,
			response: options.response,
			retries: options.retries,
			isPaused: () => this.#isPaused,
			onStalled: (reason, isServerStalled) => {
				this.#onFailure({wasWritten: true, reason}, isServerStalled);
			},
		});
		this.ledger = new AttemptLedger(options.context, options.request.received, options.route.name);
		this.#secondTry = new SecondTry({
			context: options.context,
			request: options.request,
			ledger: this.ledger,
			retries: options.retries,
			triedServers: options.triedServers,
			chooseServer: () => options.listener.chooseSecondServer(),
			send: attempt => {
				this.#send(attempt);
			},
			onOverlapEnded: () => {
				this.#replaceBySecondTry('replaced');
			},
		});
		this.#responseObserver = new ResponseObserver({
			context: options.context, received: options.request.received, route: options.route, service: options.request.service, isStream: options.request.isStream,
		});
	}

	get executions(): number {
		return this.#retries.executions;
	}

	get firstSentAt(): Milliseconds | undefined {
		return this.ledger.firstSentAt;
	}

	get firstByteAt(): Milliseconds | undefined {
		return this.#responseObserver.firstByteAt;
	}

	get records(): readonly AttemptRecord[] {
		return this.ledger.records;
	}

	/**
	 * Sends the request to a server. No other attempt may be running.
	 *
	 * @param chosen - The server.
	 */
	run(chosen: ChosenServer): void {
		const attempt = this.ledger.begin(chosen);
		this.#attempt = attempt;
		this.#retries.attempts++;
		this.#context.arrivals.pass(() => {
			// Its client may have left meanwhile.
			if (!attempt.isFinished) {
				this.#send(attempt);
			}
		});
		this.#stallWatch.update(attempt);
		if (!this.#response.hasStarted) {
			this.#secondTry.arm(attempt);
		}
	}

	/** Continues to read the response after the client has caught up. */
	resume(): void {
		if (this.#isPaused) {
			this.#isPaused = false;
			this.#attempt?.exchange?.resume();
		}
	}

	/**
	 * Ends the running attempts, if there are any. The listener is not called.
	 *
	 * @param result - How they ended, for the log.
	 * @returns Whether an attempt was running that the server may have executed.
	 */
	abort(result: string): boolean {
		this.#secondTry.cancel(result, 'abandoned');
		return this.#abortAttempt(result);
	}

	/** Stops all timers. */
	stop(): void {
		this.#secondTry.cancel('the request has ended', 'abandoned');
		this.#stallWatch.stop();
	}

	#abortAttempt(result: string): boolean {
		const attempt = this.#attempt;
		if (attempt === undefined || attempt.isFinished) {
			return false;
		}

		if (!attempt.isSent) {
			this.#endAttempt(attempt, `not sent: ${result}`);
			return false;
		}

		abortExchange(this.#context, attempt);
		this.#endAttempt(attempt, result);
		return true;
	}

	// Writes the request, unless the server has begun to leave meanwhile.
	#send(attempt: Attempt): void {
		const {backend, connections, dispatcher} = this.#context;
		const {chosen} = attempt;
		if (!dispatcher.serverFilter.isAvailable(chosen.entry)) {
			if (this.#secondTry.is(attempt)) {
				this.#secondTry.cancel('not sent: the server is leaving', 'failed');
				return;
			}

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
				} else if (this.#secondTry.is(attempt)) {
					this.#secondTry.cancel(failure.reason, 'failed');
				}
			},
		});
	}

	#onHead(attempt: Attempt, status: number, headers: Readonly<Record<string, string | string[] | undefined>>, rawHeaders: HeaderList): void {
		const {backend, clusterState, metrics, now} = this.#context;
		const {request} = this.#request.received;
		const {entry} = attempt.chosen;
		const head = recordHead(this.#context, this.#request, attempt, status, headers);
		this.#responseObserver.recordHead(attempt);
		if (head.isNotExecuted && isCredibleRefusal(head, attempt, this.#request, metrics)) {
			this.#onNotExecuted(attempt, head);
			return;
		}

		const isOwnResponse = head.requestId === request.id && head.hasServerStamp;
		if (isOwnResponse && status < 500) {
			this.#settleOn(attempt);
		} else if (this.#secondTry.is(attempt)) {
			this.#secondTry.cancel(`response ${status} that is not taken`, 'failed');
			return;
		}

		if (!isOwnResponse) {
			this.#onFailure({wasWritten: true, reason: head.hasServerStamp || head.isNotExecuted ? 'response to another request' : `response ${status} without a server stamp`});
			return;
		}

		this.#retries.executions++;
		if (status >= 500 && this.#options.route.repeatability === 'idempotent' && (this.#secondTry.isRunning || this.#claimRetry())) {
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

	// Ends the other attempt, if there are two.
	#settleOn(attempt: Attempt): void {
		if (this.#secondTry.is(attempt)) {
			this.#replaceBySecondTry('won');
		} else {
			this.#secondTry.cancel('slower than the first try', 'lost');
		}
	}

	#replaceBySecondTry(outcome: 'won' | 'replaced'): void {
		if (this.#abortAttempt('slower than the second try')) {
			this.#retries.executions++;
		}

		this.#continueWithSecondTry(outcome);
	}

	// Makes the second try the only attempt, if it is running.
	#continueWithSecondTry(outcome: 'won' | 'replaced' = 'replaced'): boolean {
		const second = this.#secondTry.take(outcome);
		if (second === undefined) {
			return false;
		}

		this.#attempt = second;
		this.#stallWatch.update(second);
		return true;
	}

	#onData(attempt: Attempt, chunk: Uint8Array): void {
		if (attempt.isFinished || attempt.head === undefined || attempt !== this.#attempt) {
			return;
		}

		this.#responseObserver.recordData(attempt);
		this.#stallWatch.update(attempt);
		if (!this.#response.write(chunk, {isEventStream: attempt.isEventStream, softwareVersion: attempt.chosen.entry.softwareVersion ?? ''})) {
			this.#isPaused = true;
			attempt.exchange?.pause();
		}

		if (this.#response.hasOversizedEvent) {
			this.#onFailure({wasWritten: true, reason: oversizedEvent});
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
		const {request} = this.#request.received;
		recordRefusal(head, attempt, this.#context, request.generation?.model);
		this.#options.triedServers.recordRefusal(attempt.chosen.entry.id);
		const result = `not run (${attempt.status}, id: ${identifyRefusal(head, request.id)})`;
		if (this.#secondTry.is(attempt)) {
			this.#secondTry.cancel(result, 'refused');
			return;
		}

		this.#endAttempt(attempt, result);
		attempt.exchange?.abort({isDelivered: true});
		if (this.#continueWithSecondTry()) {
			return;
		}

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
		if (!this.#abortAttempt(failure.reason)) {
			return;
		}

		if (failure.wasWritten) {
			this.#onExecutionFailed(attempt, failure.reason, isServerStalled);
		} else {
			this.#onUnreachable(attempt, failure.reason);
		}
	}

	#onUnreachable(attempt: Attempt, reason: string): void {
		const {id} = attempt.chosen.entry;
		recordUnreachable(this.#context, id);
		this.#context.log.info('server-unreachable', {server: id, reason, id: this.#request.received.request.id});
		if (!this.#continueWithSecondTry()) {
			this.#options.listener.onUnreachable();
		}
	}

	#onExecutionFailed(attempt: Attempt, reason: string, isServerStalled: boolean): void {
		recordFailedExecution(this.#context, this.#request, attempt, isServerStalled);
		const countsAsExecution = attempt.head === undefined || !this.#response.hasStarted || attempt.status === 0;
		if (countsAsExecution) {
			this.#retries.executions++;
		}

		this.#response.discardPartialEvent();
		if (this.#continueWithSecondTry()) {
			return;
		}

		if (this.#claimRetry()) {
			this.#options.listener.onRetry();
		} else {
			this.#options.listener.onExhausted(reason, undefined);
		}
	}

	#endAttempt(attempt: Attempt, result: string): void {
		if (attempt.isFinished) {
			return;
		}

		attempt.isFinished = true;
		this.#stallWatch.stop();
		this.ledger.end(attempt, result);
	}
}
