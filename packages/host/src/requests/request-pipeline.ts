import type {Route, Workspace} from '@lacewingpoint/routing';
import {type Milliseconds, hashText} from '@lacewingpoint/shared';
import type {HeaderList, ReceivedRequest, ResponseHead} from '../ports.js';
import {
	type Attempt, type AttemptRecord, createAttempt, describeAttempt, isEventStream, responseFraming, roundTime,
} from './attempt.js';
import type {ExchangeFailure, ResponseEnding} from './backend-connection-pool.js';
import type {ChosenServer, PendingRequest, PlacementResult} from './dispatcher.js';
import {EventRelay} from './event-relay.js';
import type {PipelineContext} from './pipeline-context.js';
import {QuotaCharge} from './quota-charge.js';
import {admitRequest, selectService, sharedPartIds} from './request-admission.js';
import {reportRequest} from './request-report.js';
import {ResponseObserver} from './response-observer.js';
import {RetryAllowance} from './retry-allowance.js';
import {StallDetector} from './stall-detector.js';
import {
	decideWait, defaultRetryAfter, limitRetryAfter, maximumWaitAfterRejections,
} from './wait-decision.js';

/** Subtracted from the deadline sent to the server, so that the response still reaches the client in time. */
const responseTransitTime: Milliseconds = 10;

/** With less time than this remaining, a request is not sent to a server. */
const minimumRemainingTime: Milliseconds = 15;

const defaultDeadline: Milliseconds = 30_000;

/** A server that has requests in flight and has sent no data for this long is considered crashed. */
const serverStallTimeout: Milliseconds = 350;

/**
 * A model server that rejects a request while a newer target version of its weights is known is assumed to be loading that version.
 * It gets no requests for this long, unless the holder of the weights lease announces its state earlier.
 */
const assumedLoadingTime: Milliseconds = 300;

/**
 * Handles one request from its arrival to the last byte of its response: matches a route, authorizes, charges the quota, queues, chooses
 * a server, forwards the request, relays the response, and retries where the route allows it.
 */
export class RequestPipeline implements PendingRequest {
	readonly received: ReceivedRequest;
	readonly #context: PipelineContext;
	readonly #triedServers = new Set<string>();
	readonly #eventRelay = new EventRelay();
	readonly #attemptRecords: AttemptRecord[] = [];
	readonly #quotaCharge: QuotaCharge;
	readonly #stallDetector = new StallDetector((duration, isFinal) => {
		this.#onStall(duration, isFinal);
	});

	#route: Route | undefined;
	#workspace: Workspace | undefined;
	#service = '';
	#fingerprint = 0;
	#retries = new RetryAllowance(0, () => false);
	#responseObserver: ResponseObserver | undefined;
	#attempt: Attempt | undefined;
	/** The version of the weights expected at the server whose response head was forwarded. */
	#weightsVersion: number | undefined;
	#hasResponseStarted = false;
	/** Whether the response head that was forwarded began a stream of events. */
	#isEventStream = false;
	#isQueued = false;
	#isFinished = false;
	#deadlineTimer: NodeJS.Timeout | undefined;
	#firstSentAt: Milliseconds | undefined;
	#isPaused = false;
	/** Whether the request tries a quarantined prompt part again. */
	#isTrial = false;

	/**
	 * @param received - The request, its body and the writer of its response.
	 * @param context - The components of the host that all requests share.
	 */
	constructor(received: ReceivedRequest, context: PipelineContext) {
		this.received = received;
		this.#context = context;
		this.#quotaCharge = new QuotaCharge(context.clusterState.rateLimiter);
	}

	get #isStream(): boolean {
		return this.#route?.repeatability === 'stream' || this.#route?.repeatability === 'resumable-stream';
	}

	get #isRetryable(): boolean {
		return this.#route?.repeatability === 'idempotent' || this.#route?.repeatability === 'resumable-stream';
	}

	/** Whether another attempt could provide the response, or the rest of one that has started. */
	get #canBeContinued(): boolean {
		return !this.#hasResponseStarted || (this.#isEventStream && this.#eventRelay.canBeContinued);
	}

	/** Processes the request until it is sent to a server, queued or refused. */
	start(): void {
		const {clusterState, quarantine, now} = this.#context;
		const {request, responseWriter, body} = this.received;
		const routes = clusterState.routes;
		if (routes === undefined) {
			this.#refuse(503, 'no configuration is known yet', defaultRetryAfter);
			return;
		}

		const admission = admitRequest(request, routes);
		this.#route = admission.route;
		if (admission.type === 'refused') {
			this.#refuse(admission.status, admission.reason, undefined);
			return;
		}

		this.#workspace = admission.workspace;

		this.#fingerprint = hashText(`${request.method} ${request.target} ${request.credential ?? ''}`, hashText(Buffer.from(body.buffer, body.byteOffset, body.length).toString('latin1')));
		if (quarantine.evaluateStatus(this.#fingerprint, now()) === 'quarantined') {
			this.#refuse(503, 'the request is quarantined: servers crashed while executing it', undefined);
			return;
		}

		const quotaWait = this.#quotaCharge.charge(request, admission.workspace, now());
		if (quotaWait > 0) {
			this.#refuse(429, `workspace ${admission.workspace!.name} is over its quota`, limitRetryAfter(quotaWait, this.#remainingTime()));
			return;
		}

		this.#service = selectService(admission.route, this.#context.random.next()) ?? '';
		this.#retries = new RetryAllowance(admission.route.maxServers, () => this.#acquireRetryBudget());
		this.#responseObserver = new ResponseObserver({
			context: this.#context, received: this.received, route: admission.route, service: this.#service, isStream: this.#isStream,
		});
		this.#context.retryBudget(this.#service).recordRequest(now());
		responseWriter.onDisconnect(() => {
			this.#onClientDisconnect();
		});
		responseWriter.onDrain(() => {
			if (this.#isPaused) {
				this.#isPaused = false;
				this.#attempt?.exchange?.resume();
			}
		});
		this.#deadlineTimer = setTimeout(() => {
			this.#onDeadline();
		}, Math.max(this.#remainingTime(), 0));
		this.#placeOrEnqueue();
	}

	tryPlace(): boolean {
		if (this.#isFinished) {
			return true;
		}

		if (this.#failIfPartQuarantined()) {
			return true;
		}

		const placement = this.#place();
		if (placement.type !== 'chosen') {
			return false;
		}

		this.#isQueued = false;
		this.#sendAttempt(placement.chosen);
		return true;
	}

	onQueueTimeout(): void {
		this.#isQueued = false;
		this.#fail('no server had capacity before the queue time-out', limitRetryAfter(Number.POSITIVE_INFINITY, this.#remainingTime()));
	}

	#remainingTime(): Milliseconds {
		const allowed = Math.min(this.received.request.deadline ?? defaultDeadline, this.#route?.timeout ?? defaultDeadline);
		return this.received.receivedAt + allowed - this.#context.now();
	}

	#rank(): number {
		return this.#workspace?.rank ?? this.#route?.rank ?? 0;
	}

	#place() {
		return this.#context.dispatcher.place({
			request: this.received.request,
			route: this.#route!,
			service: this.#service,
			workspace: this.#workspace?.name,
			isIsolated: this.#workspace?.isIsolated === true,
			excludedServers: this.#triedServers,
		});
	}

	#failIfPartQuarantined(): boolean {
		if (this.#isTrial && this.#retries.attempts === 0) {
			return false;
		}

		const admission = this.#context.promptPartGuard.admit(sharedPartIds(this.received.request));
		this.#isTrial = admission.type === 'trial';
		if (admission.type !== 'quarantined') {
			return false;
		}

		this.#isQueued = false;
		this.#fail(`prompt part ${admission.partId} is quarantined: servers crashed while executing requests with it`, undefined);
		return true;
	}

	#placeOrEnqueue(): void {
		if (this.#failIfPartQuarantined()) {
			return;
		}

		const remainingTime = this.#remainingTime();
		if (remainingTime < minimumRemainingTime) {
			this.#fail('too little time is left', undefined);
			return;
		}

		let placement = this.#place();
		if (placement.type === 'chosen') {
			this.#sendAttempt(placement.chosen);
			return;
		}

		if (placement.type === 'none' && this.#triedServers.size > 0 && this.#retries.executions === 0) {
			// Every usable server was tried and none executed the request: another attempt is better than a refusal.
			this.#triedServers.clear();
			placement = this.#place();
			if (placement.type !== 'paused') {
				this.#enqueue(maximumWaitAfterRejections(remainingTime));
				return;
			}
		}

		const decision = decideWait(placement, remainingTime);
		if (decision.type === 'enqueue') {
			this.#enqueue(decision.maximumQueueTime);
		} else {
			this.#fail(decision.reason, decision.retryAfter);
		}
	}

	#enqueue(maximumQueueTime: Milliseconds): void {
		const {generation} = this.received.request;
		this.#isQueued = true;
		this.#context.dispatcher.enqueue(this.#service, {
			workspace: this.#workspace?.name ?? '',
			rank: this.#rank(),
			size: generation === undefined ? 1 : generation.promptTokens,
			expiresAt: this.#context.now() + maximumQueueTime,
			item: this,
		});
	}

	#sendAttempt(chosen: ChosenServer): void {
		const {now, backend, connections, clusterState} = this.#context;
		const {request, body} = this.received;
		const {entry, engine} = chosen;
		const attempt = createAttempt(chosen, request, now());
		this.#attempt = attempt;
		this.#retries.attempts++;
		this.#firstSentAt ??= attempt.sentAt;
		this.#triedServers.add(entry.id);
		clusterState.loads.addRequest(entry.id, attempt.load);
		clusterState.serverLimits.recordRequest(entry, attempt.sentAt);
		clusterState.health.recordRequestSent(entry.id, attempt.sentAt);
		this.#context.onRequestPlaced(chosen, this.received);
		const headers = backend.requestHeaders(request, {
			server: entry.id,
			workspace: this.#workspace?.name,
			remainingTime: Math.max(Math.floor(this.#remainingTime() - responseTransitTime), 1),
			urgency: engine === undefined ? undefined : Math.min(this.#rank(), 9),
			lastEventId: this.#eventRelay.lastEventId ?? request.lastEventId,
			cacheSalt: engine?.cacheSalt,
			weightsVersion: engine?.weightsVersion,
			fetchFrom: engine?.fetchFrom,
			saveTo: engine?.saveTo,
		});
		attempt.exchange = connections.send(entry, {
			method: request.method, target: request.target, headers, body,
		}, {
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
				if (attempt === this.#attempt && !attempt.isFinished) {
					this.#onAttemptFailed(failure);
				}
			},
		});
		this.#updateStallDetector(attempt);
	}

	#updateStallDetector(attempt: Attempt): void {
		if (!this.#isRetryable || !this.#canBeContinued || this.#retries.isLastExecution) {
			this.#stallDetector.stop();
		} else if (!attempt.hasFirstByte) {
			this.#stallDetector.awaitFirstByte(this.#route!.objective, attempt.chosen.engine?.predictedTimeToFirstToken ?? 0);
		} else if (this.#isStream) {
			this.#stallDetector.awaitNextEvent();
		} else {
			this.#stallDetector.stop();
		}
	}

	#onStall(duration: Milliseconds, isFinal: boolean): void {
		const attempt = this.#attempt;
		if (attempt === undefined || attempt.isFinished || this.#isPaused || this.#remainingTime() < this.#route!.objective / 2) {
			return;
		}

		const {clusterState, now} = this.#context;
		const isServerStalled = clusterState.health.stallDuration(attempt.chosen.entry.id, now()) >= serverStallTimeout;
		if (isServerStalled || isFinal) {
			this.#onAttemptFailed({wasWritten: true, reason: `no data for ${Math.round(duration)} ms`}, isServerStalled);
		}
	}

	#onHead(attempt: Attempt, status: number, headers: Readonly<Record<string, string | string[] | undefined>>, rawHeaders: HeaderList): void {
		const {backend, clusterState, now} = this.#context;
		const head = backend.parseResponseHead(status, headers);
		clusterState.health.recordDataReceived(attempt.chosen.entry.id, now());
		const {entry, engine} = attempt.chosen;
		attempt.head = head;
		attempt.status = status;
		attempt.isEventStream = this.#isStream && status === 200 && isEventStream(headers);
		if (head.weightsVersion !== undefined && this.received.request.generation !== undefined && (head.instanceId ?? entry.id) === entry.id) {
			clusterState.recordObservedVersion(entry.id, this.received.request.generation.model, head.weightsVersion);
		}

		if (head.isNotExecuted) {
			this.#onNotExecuted(attempt, head);
			return;
		}

		if (head.requestId !== this.received.request.id || !head.hasServerStamp) {
			this.#onAttemptFailed({wasWritten: true, reason: head.hasServerStamp ? 'response to another request' : `response ${status} without a server stamp`});
			return;
		}

		this.#retries.executions++;
		if (status >= 500 && this.#route!.repeatability === 'idempotent' && this.#claimRetry()) {
			this.#retries.executions--;
			this.#onAttemptFailed({wasWritten: true, reason: `server responded with status ${status}`});
			return;
		}

		if (this.#hasResponseStarted) {
			// The client already has the response head of the first server; only the resumed events are relayed.
			if (!attempt.isEventStream) {
				this.#onAttemptFailed({wasWritten: true, reason: `the stream was not continued: status ${status}, ${String(headers['content-type'])}`});
			}

			return;
		}

		this.#hasResponseStarted = true;
		this.#isEventStream = attempt.isEventStream;
		this.#weightsVersion = engine?.weightsVersion;
		clusterState.health.recordOutcome(entry.id, false, now());
		attempt.framing = responseFraming(headers);
		this.received.responseWriter.writeHead(status, backend.responseHeaders(rawHeaders));
	}

	#onData(attempt: Attempt, chunk: Uint8Array): void {
		if (attempt.isFinished || attempt.head === undefined || attempt !== this.#attempt) {
			return;
		}

		this.#responseObserver!.recordData(attempt);
		this.#updateStallDetector(attempt);
		const bytes = attempt.isEventStream ? this.#eventRelay.push(chunk) : chunk;
		if (bytes.length > 0 && !this.received.responseWriter.write(bytes)) {
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
			if (this.#eventRelay.isWithinEvent) {
				attempt.partialEventBytes = this.#eventRelay.bufferedBytes;
				this.#onAttemptFailed({wasWritten: true, reason: 'the stream ended within an event'});
				return;
			}

			const remainder = this.#eventRelay.flush();
			if (remainder.length > 0) {
				this.received.responseWriter.write(remainder);
			}
		}

		this.#finishAttempt(attempt, 'whole');
		this.#context.quarantine.clearRequest(this.#fingerprint);
		this.#responseObserver!.recordSurvival(attempt);
		this.#finish('answered', attempt.status);
		this.received.responseWriter.end();
	}

	#onNotExecuted(attempt: Attempt, head: ResponseHead): void {
		const {clusterState, now} = this.#context;
		const {entry} = attempt.chosen;
		if (head.isMisdirected && head.instanceId !== undefined && head.instanceId !== entry.id) {
			clusterState.health.recordUnreachable(entry.id, now());
		}

		if (attempt.chosen.engine !== undefined && clusterState.weightsTracker.outdatedTime(this.received.request.generation!.model, attempt.chosen.engine.weightsVersion, now()) > 0) {
			clusterState.weightsTracker.recordLoading(entry.id, now() + assumedLoadingTime, now());
		}

		this.#finishAttempt(attempt, `not run (${attempt.status})`);
		attempt.exchange?.abort();
		if (this.#retries.claimAfterRejection()) {
			this.#placeOrEnqueue();
		} else {
			this.#fail('servers refused the request', limitRetryAfter(defaultRetryAfter, this.#remainingTime()));
		}
	}

	#acquireRetryBudget(): boolean {
		const {retryBudget, hostCount, now} = this.#context;
		return retryBudget(this.#service).tryAcquire(hostCount(), now());
	}

	// Checks whether another attempt is allowed; if so, takes it from the retry budget.
	#claimRetry(): boolean {
		return this.#isRetryable
			&& this.#canBeContinued
			&& this.#remainingTime() > minimumRemainingTime
			&& this.#retries.claimAfterFailure();
	}

	#onAttemptFailed(failure: ExchangeFailure, isServerStalled = false): void {
		const attempt = this.#attempt;
		if (attempt === undefined || attempt.isFinished || this.#isFinished) {
			return;
		}

		const {clusterState, now} = this.#context;
		const {entry} = attempt.chosen;
		attempt.exchange?.abort();
		this.#finishAttempt(attempt, failure.reason);
		if (!failure.wasWritten) {
			clusterState.health.recordUnreachable(entry.id, now());
			this.#context.onServerUnreachable(entry.id);
			this.#context.log.info('server-unreachable', {server: entry.id, reason: failure.reason, id: this.received.request.id});
			if (this.#retries.mayRetryUnreachable) {
				this.#placeOrEnqueue();
				return;
			}

			this.#fail('servers could not be reached', limitRetryAfter(defaultRetryAfter, this.#remainingTime()));
			return;
		}

		clusterState.health.recordOutcome(entry.id, true, now());
		this.#context.onAttemptFailed(entry.id, {
			id: this.received.request.id, fingerprint: this.#fingerprint, sharedParts: sharedPartIds(this.received.request), hasSurvivedResponse: attempt.hasSurvivedResponse,
		});
		if (isServerStalled) {
			clusterState.health.recordUnreachable(entry.id, now());
			this.#context.onServerUnreachable(entry.id);
		}

		const countsAsExecution = attempt.head === undefined || !this.#hasResponseStarted || attempt.status === 0;
		if (countsAsExecution) {
			this.#retries.executions++;
		}

		this.#eventRelay.discardPartialEvent();
		if (this.#claimRetry()) {
			this.#placeOrEnqueue();
			return;
		}

		this.#fail(failure.reason, undefined);
	}

	#finishAttempt(attempt: Attempt, result: string): void {
		if (attempt.isFinished) {
			return;
		}

		const {clusterState, now, dispatcher} = this.#context;
		attempt.isFinished = true;
		this.#stallDetector.stop();
		if (!attempt.hasFirstByte && attempt.chosen.engine !== undefined) {
			this.#context.onPrefillEnded(attempt.chosen, this.received, false);
		}

		clusterState.loads.removeRequest(attempt.chosen.entry.id, attempt.load);
		clusterState.health.recordRequestEnded(attempt.chosen.entry.id);
		this.#attemptRecords.push(describeAttempt(attempt, this.received.receivedAt, {result, endedAt: now()}));
		queueMicrotask(() => {
			dispatcher.dispatchQueued();
		});
	}

	#onDeadline(): void {
		if (this.#isFinished) {
			return;
		}

		const attempt = this.#attempt;
		if (attempt !== undefined && !attempt.isFinished) {
			attempt.exchange?.abort();
			this.#finishAttempt(attempt, 'out of time');
			this.#retries.executions++;
		}

		this.#fail('out of time', undefined);
	}

	// Sends the final response: 503 states that the request was not executed, 502 and 504 that it may have been. A response that has
	// already started is cut off by closing the connection, so that the client does not take it for a complete one.
	#fail(reason: string, retryAfter: Milliseconds | undefined): void {
		if (this.#hasResponseStarted) {
			this.#finish('broken-off', 0, reason);
			this.received.responseWriter.destroy();
			return;
		}

		if (this.#retries.executions > 0) {
			this.#finish('failed', reason === 'out of time' ? 504 : 502, reason);
			this.received.responseWriter.sendError(reason === 'out of time' ? 504 : 502, reason, undefined);
			return;
		}

		this.#quotaCharge.refund();
		this.#refuse(503, reason, retryAfter);
	}

	#refuse(status: number, reason: string, retryAfter: Milliseconds | undefined): void {
		this.#finish('refused', status, reason, retryAfter);
		this.received.responseWriter.sendError(status, reason, retryAfter);
	}

	#onClientDisconnect(): void {
		if (this.#isFinished) {
			return;
		}

		const attempt = this.#attempt;
		if (attempt !== undefined && !attempt.isFinished) {
			attempt.exchange?.abort();
			this.#finishAttempt(attempt, 'client gone');
		}

		this.#finish('client-gone', 0);
	}

	#finish(outcome: string, status: number, cause?: string, retryAfter?: Milliseconds): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		clearTimeout(this.#deadlineTimer);
		this.#stallDetector.stop();
		if (this.#isQueued) {
			this.#isQueued = false;
			this.#context.dispatcher.removeFromQueue(this.#service, this);
		}

		reportRequest(this.#context, {
			received: this.received,
			route: this.#route,
			workspace: this.#workspace,
			service: this.#service,
			fingerprint: this.#fingerprint,
			outcome,
			status,
			cause,
			retryAfter,
			firstByteAt: this.#responseObserver?.firstByteAt,
			firstSentAt: this.#firstSentAt,
			weightsVersion: this.#weightsVersion,
			attempts: this.#attemptRecords,
		});
		this.#context.onRequestFinished();
	}
}

