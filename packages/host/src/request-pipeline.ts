import type {Route, Workspace} from '@lacewingpoint/routing';
import {type Milliseconds, hashText} from '@lacewingpoint/shared';
import {
	type Attempt, type AttemptRecord, createAttempt, responseFraming, describeAttempt, roundTime,
} from './attempt.js';
import type {ExchangeFailure} from './backend-connection-pool.js';
import type {ChosenServer, PendingRequest} from './dispatcher.js';
import {EventRelay} from './event-relay.js';
import type {PipelineContext} from './pipeline-context.js';
import type {ResponseHead, HeaderList, ReceivedRequest} from './ports.js';
import {admitRequest, selectService, quotaUnits} from './request-admission.js';
import {StallDetector} from './stall-detector.js';

/** Sends at most, whatever becomes of them: beyond the servers that may run a request come those that did not run it. */
const sendsBeyondRuns = 2;

/** Time kept from the server's deadline for the way back to the client. */
const wayBack: Milliseconds = 10;

/** The share of its time that a request may wait in line: later it could hardly be served, and its client can still come back. */
const longestWaitShare = 0.4;

/** A client honours at most this share of the time that it has left. */
const honouredShare = 0.33;

/** The shortest time worth a request to a server. */
const leastTime: Milliseconds = 15;

const defaultDeadline: Milliseconds = 30_000;

/** The pause offered when nothing tells how long a lack of servers will last. */
const unknownPause: Milliseconds = 300;

/** A server that owes answers and has sent nothing for this long is taken for dead. */
const deadSilence: Milliseconds = 350;

/** A model server that refuses while newer weights are named is loading them: it is left alone until the holder tells or this long. */
const refusalPause: Milliseconds = 300;

/** One request from its arrival to its last byte: route, authorize, charge, wait, place, send, relay, perhaps again. */
export class RequestPipeline implements PendingRequest {
	readonly received: ReceivedRequest;
	readonly #context: PipelineContext;
	readonly #avoided = new Set<string>();
	readonly #relay = new EventRelay();
	readonly #trail: AttemptRecord[] = [];
	readonly #silence = new StallDetector((silence, isLastWord) => {
		this.#onSilence(silence, isLastWord);
	});

	#route: Route | undefined;
	#workspace: Workspace | undefined;
	#service = '';
	#charged = 0;
	#fingerprint = 0;
	#attempt: Attempt | undefined;
	#runs = 0;
	#sends = 0;
	#firstRunVersion: number | undefined;
	#hasBegun = false;
	#isWaiting = false;
	#isSettled = false;
	#deadlineTimer: NodeJS.Timeout | undefined;
	#firstByteAt: Milliseconds | undefined;
	#placedAt: Milliseconds | undefined;
	#isPaused = false;

	constructor(received: ReceivedRequest, context: PipelineContext) {
		this.received = received;
		this.#context = context;
	}

	get #isStream(): boolean {
		return this.#route?.repeatability === 'stream' || this.#route?.repeatability === 'resumable-stream';
	}

	get #mayRunAgain(): boolean {
		return this.#route?.repeatability === 'idempotent' || this.#route?.repeatability === 'resumable-stream';
	}

	/** Takes the request up to its first send, its place in line or its refusal. */
	start(): void {
		const {clusterState: beliefs, quarantine, now} = this.#context;
		const {request, responseWriter: reply, body} = this.received;
		const routes = beliefs.routes;
		if (routes === undefined) {
			this.#refuse(503, 'no configuration is known yet', unknownPause);
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
			this.#refuse(503, 'the request is quarantined: servers that ran it crashed', undefined);
			return;
		}

		if (!this.#charge()) {
			return;
		}

		this.#service = selectService(admission.route, this.#context.random.next()) ?? '';
		this.#context.retryBudget(this.#service).recordRequest(now());
		reply.onDisconnect(() => {
			this.#clientGone();
		});
		reply.onDrain(() => {
			if (this.#isPaused) {
				this.#isPaused = false;
				this.#attempt?.exchange?.resume();
			}
		});
		this.#deadlineTimer = setTimeout(() => {
			this.#outOfTime();
		}, Math.max(this.#timeLeft(), 0));
		this.#placeOrWait();
	}

	tryPlace(): boolean {
		if (this.#isSettled) {
			return true;
		}

		const answer = this.#place();
		if (answer.type !== 'chosen') {
			return false;
		}

		this.#isWaiting = false;
		this.#send(answer.chosen);
		return true;
	}

	onQueueTimeout(): void {
		this.#isWaiting = false;
		this.#fail('no server had room in time', this.#timeLeft() * honouredShare);
	}

	#charge(): boolean {
		const units = quotaUnits(this.received.request, this.#workspace);
		if (units === 0) {
			return true;
		}

		const {name} = this.#workspace!;
		const wait = this.#context.clusterState.rateLimiter.charge(name, units, this.#context.now());
		if (wait > 0) {
			this.#refuse(429, `workspace ${name} is over its quota`, Math.min(wait, this.#timeLeft() * honouredShare));
			return false;
		}

		this.#charged = units;
		return true;
	}

	#timeLeft(): Milliseconds {
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
			excludedServers: this.#avoided,
		});
	}

	#placeOrWait(): void {
		const timeLeft = this.#timeLeft();
		if (timeLeft < leastTime) {
			this.#fail('too little time is left', undefined);
			return;
		}

		const answer = this.#place();
		if (answer.type === 'chosen') {
			this.#send(answer.chosen);
			return;
		}

		if (answer.type === 'none') {
			if (this.#avoided.size > 0 && this.#runs === 0) {
				// Every server has refused it once; another try is worth more than a refusal.
				this.#avoided.clear();
				this.#waitInLine(Math.min(timeLeft * longestWaitShare, unknownPause));
				return;
			}

			this.#fail('no server can be used', Math.min(unknownPause, timeLeft * honouredShare));
			return;
		}

		if (answer.estimatedWait > timeLeft * longestWaitShare) {
			this.#fail('the line is too long for the time left', Math.min(answer.estimatedWait, timeLeft * honouredShare));
			return;
		}

		this.#waitInLine(timeLeft * longestWaitShare);
	}

	#waitInLine(longest: Milliseconds): void {
		const {generation} = this.received.request;
		this.#isWaiting = true;
		this.#context.dispatcher.enqueue(this.#service, {
			workspace: this.#workspace?.name ?? '',
			rank: this.#rank(),
			size: generation === undefined ? 1 : generation.promptTokens,
			expiresAt: this.#context.now() + longest,
			item: this,
		});
	}

	#send(chosen: ChosenServer): void {
		const {now, backend, connections, clusterState: beliefs} = this.#context;
		const {request, body} = this.received;
		const {entry, engine} = chosen;
		const attempt = createAttempt(chosen, request, now());
		this.#attempt = attempt;
		this.#sends++;
		this.#placedAt ??= attempt.sentAt;
		this.#avoided.add(entry.id);
		beliefs.loads.addRequest(entry.id, attempt.load);
		beliefs.health.recordRequestSent(entry.id, attempt.sentAt);
		this.#context.onRequestPlaced(chosen, this.received);
		const headers = backend.requestHeaders(request, {
			server: entry.id,
			workspace: this.#workspace?.name,
			remainingTime: Math.max(Math.floor(this.#timeLeft() - wayBack), 1),
			urgency: engine === undefined ? undefined : Math.min(this.#rank(), 9),
			lastEventId: this.#relay.lastEventId ?? request.lastEvent,
			cacheSalt: engine?.cacheSalt,
			weightsVersion: engine?.weightsVersion,
			fetchFrom: engine?.fetchFrom,
			saveTo: engine?.saveTo,
		});
		attempt.exchange = connections.send(entry, {
			method: request.method, target: request.target, headers, body,
		}, {
			onHead: (status, answerHeaders, rawHeaders) => {
				this.#onHead(attempt, status, answerHeaders, rawHeaders);
			},
			onData: chunk => {
				this.#onData(attempt, chunk);
			},
			onEnd: () => {
				this.#onEnd(attempt);
			},
			onFailure: failure => {
				if (attempt === this.#attempt && !attempt.isFinished) {
					this.#attemptFailed(failure);
				}
			},
		});
		this.#watchSilence(attempt);
	}

	#watchSilence(attempt: Attempt): void {
		if (!this.#mayRunAgain || this.#runs + 1 >= this.#route!.maxServers) {
			this.#silence.stop();
		} else if (!attempt.hasFirstByte) {
			this.#silence.awaitFirstByte(this.#route!.objective, attempt.chosen.engine?.predictedTimeToFirstToken ?? 0);
		} else if (this.#isStream) {
			this.#silence.awaitNextEvent();
		} else {
			this.#silence.stop();
		}
	}

	#onSilence(silence: Milliseconds, isLastWord: boolean): void {
		const attempt = this.#attempt;
		if (attempt === undefined || attempt.isFinished || this.#isPaused || this.#timeLeft() < this.#route!.objective / 2) {
			return;
		}

		const {clusterState: beliefs, now} = this.#context;
		const isDead = beliefs.health.stallDuration(attempt.chosen.entry.id, now()) >= deadSilence;
		if (isDead || isLastWord) {
			this.#attemptFailed({wasWritten: true, reason: `silent for ${Math.round(silence)} ms`}, isDead);
		}
	}

	#onHead(attempt: Attempt, status: number, headers: Readonly<Record<string, string | string[] | undefined>>, rawHeaders: HeaderList): void {
		const {backend, clusterState: beliefs, now} = this.#context;
		const head = backend.parseResponseHead(status, headers);
		beliefs.health.recordDataReceived(attempt.chosen.entry.id, now());
		const {entry, engine} = attempt.chosen;
		attempt.head = head;
		attempt.status = status;
		if (head.weightsVersion !== undefined && this.received.request.generation !== undefined && (head.instanceId ?? entry.id) === entry.id) {
			beliefs.recordObservedVersion(entry.id, this.received.request.generation.model, head.weightsVersion);
		}

		if (head.isNotExecuted) {
			this.#notRun(attempt, head);
			return;
		}

		if (head.requestId !== this.received.request.id || !head.hasServerStamp) {
			this.#attemptFailed({wasWritten: true, reason: head.hasServerStamp ? 'answer to another request' : `unstamped answer ${status}`});
			return;
		}

		this.#runs++;
		if (status >= 500 && this.#route!.repeatability === 'idempotent' && this.#mayTryAgain()) {
			this.#runs--;
			this.#attemptFailed({wasWritten: true, reason: `server answered ${status}`});
			return;
		}

		if (this.#hasBegun) {
			// A resumed stream keeps the head of its first server.
			if (status >= 300) {
				this.#attemptFailed({wasWritten: true, reason: `resume answered ${status}`});
			}

			return;
		}

		this.#hasBegun = true;
		this.#firstRunVersion = engine?.weightsVersion;
		beliefs.health.recordOutcome(entry.id, false, now());
		attempt.framing = responseFraming(headers);
		this.received.responseWriter.writeHead(status, backend.responseHeaders(rawHeaders));
	}

	#onData(attempt: Attempt, chunk: Uint8Array): void {
		if (attempt.isFinished || attempt.head === undefined || attempt !== this.#attempt) {
			return;
		}

		this.#context.clusterState.health.recordDataReceived(attempt.chosen.entry.id, this.#context.now());
		if (!attempt.hasFirstByte) {
			this.#noteFirstByte(attempt);
		}

		this.#watchSilence(attempt);
		const bytes = this.#isStream && attempt.status === 200 ? this.#relay.push(chunk) : chunk;
		if (bytes.length > 0 && !this.received.responseWriter.write(bytes)) {
			this.#isPaused = true;
			attempt.exchange?.pause();
		}
	}

	#noteFirstByte(attempt: Attempt): void {
		const {clusterState: beliefs, metrics, now} = this.#context;
		const {entry, engine} = attempt.chosen;
		attempt.hasFirstByte = true;
		const taken = now() - attempt.sentAt;
		if (engine !== undefined) {
			this.#context.onPrefillEnded(attempt.chosen, this.received, true);
			beliefs.loads.completePrefill(entry.id, attempt.load.prefillTokens);
			attempt.load = {...attempt.load, prefillTokens: 0};
			beliefs.health.recordSlowness(entry.id, taken / Math.max(engine.predictedTimeToFirstToken, 1), now());
		}

		if (this.#firstByteAt === undefined) {
			this.#firstByteAt = now();
			metrics.recordDuration('first_byte', this.#firstByteAt - this.received.receivedAt, {route: this.#route!.name});
		}
	}

	#onEnd(attempt: Attempt): void {
		if (attempt.isFinished || attempt !== this.#attempt) {
			return;
		}

		if (this.#isStream && attempt.status === 200) {
			const rest = this.#relay.flush();
			if (rest.length > 0) {
				this.received.responseWriter.write(rest);
			}
		}

		this.#closeAttempt(attempt, 'whole');
		this.#context.quarantine.clearRequest(this.#fingerprint);
		this.#settle('answered', attempt.status);
		this.received.responseWriter.end();
	}

	#notRun(attempt: Attempt, head: ResponseHead): void {
		const {clusterState: beliefs, now} = this.#context;
		const {entry} = attempt.chosen;
		if (head.isMisdirected && head.instanceId !== undefined && head.instanceId !== entry.id) {
			beliefs.health.recordUnreachable(entry.id, now());
		}

		if (attempt.chosen.engine !== undefined && beliefs.weightsTracker.outdatedTime(this.received.request.generation!.model, attempt.chosen.engine.weightsVersion, now()) > 0) {
			beliefs.weightsTracker.recordLoading(entry.id, now() + refusalPause, now());
		}

		this.#closeAttempt(attempt, `not run (${attempt.status})`);
		attempt.exchange?.abort();
		if (this.#sends < this.#route!.maxServers + sendsBeyondRuns && this.#takeRetry()) {
			this.#placeOrWait();
		} else {
			this.#fail('servers refused the request', Math.min(unknownPause, this.#timeLeft() * honouredShare));
		}
	}

	#takeRetry(): boolean {
		const {retryBudget, hostCount, now} = this.#context;
		return retryBudget(this.#service).tryAcquire(hostCount(), now());
	}

	#mayTryAgain(): boolean {
		// Of an answer that has begun, only a stream can go on at another server.
		return this.#mayRunAgain
			&& (!this.#hasBegun || this.#isStream)
			&& this.#runs < this.#route!.maxServers
			&& this.#sends < this.#route!.maxServers + sendsBeyondRuns
			&& this.#timeLeft() > leastTime
			&& this.#takeRetry();
	}

	#attemptFailed(failure: ExchangeFailure, isSilence = false): void {
		const attempt = this.#attempt;
		if (attempt === undefined || attempt.isFinished || this.#isSettled) {
			return;
		}

		const {clusterState: beliefs, now} = this.#context;
		const {entry} = attempt.chosen;
		attempt.exchange?.abort();
		this.#closeAttempt(attempt, failure.reason);
		if (!failure.wasWritten) {
			beliefs.health.recordUnreachable(entry.id, now());
			this.#context.onServerUnreachable(entry.id);
			this.#context.log.info('server-unreachable', {server: entry.id, reason: failure.reason, id: this.received.request.id});
			if (this.#sends < this.#route!.maxServers + sendsBeyondRuns + 2) {
				this.#placeOrWait();
				return;
			}

			this.#fail('servers could not be reached', Math.min(unknownPause, this.#timeLeft() * honouredShare));
			return;
		}

		beliefs.health.recordOutcome(entry.id, true, now());
		this.#context.onAttemptFailed(entry.id, this.#fingerprint);
		if (isSilence) {
			beliefs.health.recordUnreachable(entry.id, now());
			this.#context.onServerUnreachable(entry.id);
		}

		const countsAsRun = attempt.head === undefined || !this.#hasBegun || attempt.status === 0;
		if (countsAsRun) {
			this.#runs++;
		}

		this.#relay.discardPartialEvent();
		if (this.#mayTryAgain()) {
			this.#placeOrWait();
			return;
		}

		this.#fail(failure.reason, undefined);
	}

	#closeAttempt(attempt: Attempt, result: string): void {
		if (attempt.isFinished) {
			return;
		}

		const {clusterState: beliefs, now, dispatcher} = this.#context;
		attempt.isFinished = true;
		this.#silence.stop();
		if (!attempt.hasFirstByte && attempt.chosen.engine !== undefined) {
			this.#context.onPrefillEnded(attempt.chosen, this.received, false);
		}

		beliefs.loads.removeRequest(attempt.chosen.entry.id, attempt.load);
		beliefs.health.recordRequestEnded(attempt.chosen.entry.id);
		this.#trail.push(describeAttempt(attempt, this.received.receivedAt, {result, endedAt: now()}));
		queueMicrotask(() => {
			dispatcher.dispatchQueued();
		});
	}

	#outOfTime(): void {
		if (this.#isSettled) {
			return;
		}

		const attempt = this.#attempt;
		if (attempt !== undefined && !attempt.isFinished) {
			attempt.exchange?.abort();
			this.#closeAttempt(attempt, 'out of time');
			this.#runs++;
		}

		this.#fail('out of time', undefined);
	}

	// The last word to the client: true about whether the request has run.
	#fail(reason: string, retryAfter: Milliseconds | undefined): void {
		if (this.#hasBegun) {
			this.#settle('broken-off', 0, reason);
			this.received.responseWriter.destroy();
			return;
		}

		if (this.#runs > 0) {
			this.#settle('failed', reason === 'out of time' ? 504 : 502, reason);
			this.received.responseWriter.sendError(reason === 'out of time' ? 504 : 502, reason, undefined);
			return;
		}

		this.#refundCharge();
		this.#refuse(503, reason, retryAfter);
	}

	#refuse(status: number, reason: string, retryAfter: Milliseconds | undefined): void {
		this.#settle('refused', status, reason, retryAfter);
		this.received.responseWriter.sendError(status, reason, retryAfter);
	}

	#refundCharge(): void {
		if (this.#workspace !== undefined && this.#charged > 0) {
			this.#context.clusterState.rateLimiter.refund(this.#workspace.name, this.#charged);
			this.#charged = 0;
		}
	}

	#clientGone(): void {
		if (this.#isSettled) {
			return;
		}

		const attempt = this.#attempt;
		if (attempt !== undefined && !attempt.isFinished) {
			attempt.exchange?.abort();
			this.#closeAttempt(attempt, 'client gone');
		}

		this.#settle('client-gone', 0);
	}

	#settle(outcome: string, status: number, cause?: string, retryAfter?: Milliseconds): void {
		if (this.#isSettled) {
			return;
		}

		this.#isSettled = true;
		clearTimeout(this.#deadlineTimer);
		this.#silence.stop();
		if (this.#isWaiting) {
			this.#isWaiting = false;
			this.#context.dispatcher.removeFromQueue(this.#service, this);
		}

		const {clusterState: beliefs, log, metrics, now} = this.#context;
		const took = now() - this.received.receivedAt;
		const route = this.#route?.name ?? 'none';
		metrics.incrementCounter('requests', {route, outcome, status: String(status)});
		metrics.recordDuration('request', took, {route});
		if (this.#placedAt !== undefined) {
			metrics.recordDuration('wait', this.#placedAt - this.received.receivedAt, {route});
		}

		log.info('request', {
			id: this.received.request.id,
			route,
			workspace: this.#workspace?.name,
			service: this.#service,
			outcome,
			status,
			cause,
			retryAfter: roundTime(retryAfter),
			took: roundTime(took),
			firstByte: roundTime(this.#firstByteAt === undefined ? undefined : this.#firstByteAt - this.received.receivedAt),
			waited: roundTime(this.#placedAt === undefined ? undefined : this.#placedAt - this.received.receivedAt),
			deadline: this.received.request.deadline,
			configuration: beliefs.configuration?.version,
			configurationAge: roundTime(beliefs.configurationAge()),
			revision: beliefs.revision,
			weights: this.#firstRunVersion,
			sends: this.#trail,
		});
		this.#context.onRequestFinished();
	}
}

