import type {Route} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import {RequestWait} from '../admission/request-wait.js';
import type {ReceivedRequest} from '../ports.js';
import {stopDeadlineReason, stoppingReason} from '../stopping/planned-stop.js';
import type {ChosenServer, PlacementResult} from '../placement/placement-request.js';
import type {AttemptListener} from './attempt.js';
import {AttemptRunner} from './attempt-runner.js';
import type {PendingRequest} from './dispatcher.js';
import {PeerAttempts} from './peer-attempts.js';
import type {PipelineContext} from './pipeline-context.js';
import {QuotaCharge} from './quota-charge.js';
import {RelayedResponse} from './relayed-response.js';
import {admitRequest, sharedPartIds} from './request-admission.js';
import {RequestCompletion, outOfTime} from './request-completion.js';
import {RetryAllowance} from './retry-allowance.js';
import {RoutedRequest} from './routed-request.js';
import type {RunningRequest} from './running-requests.js';
import {TriedServers} from './tried-servers.js';
import {
	decideWait, defaultRetryAfter, limitRetryAfter, maximumWaitAfterRejections, minimumRemainingTime,
} from './wait-decision.js';

/** The number of servers that a request finds out of reach before it is forwarded to a peer: one may have crashed. */
const unreachableServersBeforeForwarding = 2;

/**
 * Handles one request from its arrival to its outcome: matches a route, authorizes, charges the quota, chooses a server or queues, and
 * does so again when an attempt has failed and the route allows another.
 */
export class RequestPipeline implements PendingRequest, AttemptListener, RunningRequest {
	readonly #context: PipelineContext;
	readonly #request: RoutedRequest;
	readonly #response: RelayedResponse;
	readonly #quotaCharge: QuotaCharge;
	readonly #completion: RequestCompletion;
	readonly #triedServers = new TriedServers();
	readonly #peerAttempts: PeerAttempts;

	#retries = new RetryAllowance(0, () => false);
	#attempts: AttemptRunner | undefined;
	#wait: RequestWait | undefined;
	#unreachableServers = 0;
	#isQueued = false;
	#deadlineTimer: NodeJS.Timeout | undefined;
	/** Software version of the servers at which a stream that the client takes up may go on. */
	#originVersion: string | undefined;
	/** Whether the request tries a quarantined prompt part again. */
	#isTrial = false;

	/**
	 * @param received - The request, its body and the writer of its response.
	 * @param context - The components of the host that all requests share.
	 */
	constructor(received: ReceivedRequest, context: PipelineContext) {
		this.#context = context;
		this.#request = new RoutedRequest(received, context);
		this.#response = new RelayedResponse(received.responseWriter, version => {
			this.#recordOrigin(version);
		});
		this.#peerAttempts = new PeerAttempts({
			context, request: this.#request, response: this.#response, listener: this, onEnded: record => {
				this.#attempts!.ledger.addRecord(record);
			},
		});
		this.#quotaCharge = new QuotaCharge(context.clusterState.rateLimiter);
		this.#completion = new RequestCompletion({
			context,
			request: this.#request,
			response: this.#response,
			quotaCharge: this.#quotaCharge,
			onFinished: isAbandoned => {
				this.#onFinished(isAbandoned);
			},
		});
	}

	/** Processes the request until it is sent to a server, queued or refused. */
	start(): void {
		this.#context.runningRequests.add(this);
		const route = this.#admit();
		if (route === undefined) {
			return;
		}

		const {retryBudget, hostCount, random, now} = this.#context;
		const {responseWriter, forwarding} = this.#request.received;
		this.#request.selectService(route, random.next());
		this.#wait = new RequestWait(this.#context.dispatcher.admission, this.#request, now());
		this.#originVersion = forwarding?.requiredVersion;
		this.#retries = new RetryAllowance(Math.min(route.maxServers, forwarding?.executionsLeft ?? Number.POSITIVE_INFINITY), () => retryBudget(this.#request.service).tryAcquire(hostCount(), now()));
		const attempts = new AttemptRunner({
			context: this.#context, request: this.#request, route, response: this.#response, retries: this.#retries, triedServers: this.#triedServers, listener: this,
		});
		this.#attempts = attempts;
		this.#completion.observeAttempts(attempts);
		if (forwarding === undefined) {
			retryBudget(this.#request.service).recordRequest(now());
			this.#context.secondTries?.recordRequest();
		}

		responseWriter.onDisconnect(() => {
			this.#onClientDisconnect();
		});
		responseWriter.onDrain(() => {
			attempts.resume();
			this.#peerAttempts.resume();
		});
		this.#deadlineTimer = setTimeout(() => {
			this.#onDeadline();
		}, Math.max(this.#request.remainingTime(), 0));
		if (this.#request.isResumedStream && this.#originVersion === undefined) {
			void this.#continueStream();
		} else {
			this.#placeOrEnqueue();
		}
	}

	get isQueued(): boolean {
		return this.#isQueued;
	}

	get waitsForCapacity(): boolean {
		return this.#wait?.waitsForCapacity === true;
	}

	hasCapacity(): boolean {
		return !this.#completion.isFinished && this.#place().type === 'chosen';
	}

	tryPlace(): boolean {
		if (this.#completion.isFinished) {
			return true;
		}

		if (this.#failIfPartQuarantined()) {
			return true;
		}

		if (this.#context.isDetached() && this.#forward()) {
			this.#isQueued = false;
			return true;
		}

		const placement = this.#place();
		if (placement.type !== 'chosen') {
			this.#wait!.observe(placement);
			return false;
		}

		this.#isQueued = false;
		this.#send(placement.chosen);
		return true;
	}

	onQueueTimeout(): void {
		this.#isQueued = false;
		this.#completion.fail('no server had capacity before the queue time-out', this.#wait!.refuse(limitRetryAfter(Number.POSITIVE_INFINITY, this.#request.remainingTime())));
	}

	onAnswered(status: number): void {
		this.#completion.succeed(status);
	}

	onRetry(): void {
		this.#placeOrEnqueue();
	}

	chooseSecondServer(): ChosenServer | undefined {
		const placement = this.#place();
		return placement.type === 'chosen' ? placement.chosen : undefined;
	}

	onUnreachable(): void {
		this.#unreachableServers++;
		if (this.#unreachableServers >= unreachableServersBeforeForwarding && this.#forward()) {
			return;
		}

		if (this.#retries.mayRetryUnreachable) {
			this.#placeOrEnqueue();
		} else {
			this.#completion.fail('servers could not be reached', limitRetryAfter(defaultRetryAfter, this.#request.remainingTime()));
		}
	}

	onPeerRefused(reason: string, retryAfter: Milliseconds | undefined): void {
		if (!this.#forward()) {
			this.#completion.fail(reason, limitRetryAfter(retryAfter ?? defaultRetryAfter, this.#request.remainingTime()));
		}
	}

	onExhausted(reason: string, retryAfter: Milliseconds | undefined): void {
		this.#completion.fail(reason, retryAfter);
	}

	endForStop(): void {
		if (!this.#response.hasStarted) {
			this.#end(stopDeadlineReason, limitRetryAfter(defaultRetryAfter, this.#request.remainingTime()));
		}
	}

	// Returns the route of a request that may be sent to servers; refuses others.
	#admit(): Route | undefined {
		const {clusterState, quarantine, plannedStop, now} = this.#context;
		const {request} = this.#request.received;
		const routes = clusterState.routes;
		if (routes === undefined) {
			this.#completion.refuse(503, 'no configuration is known yet', defaultRetryAfter);
			return undefined;
		}

		const admission = admitRequest(request, routes);
		this.#request.recordAdmission(admission);
		if (admission.type === 'refused') {
			this.#completion.refuse(admission.status, admission.reason, undefined);
			return undefined;
		}

		const remainingTime = this.#request.remainingTime();
		if (!plannedStop.admits(remainingTime)) {
			this.#completion.refuse(503, stoppingReason, plannedStop.retryAfter(remainingTime));
			return undefined;
		}

		this.#request.computeFingerprint();
		if (quarantine.evaluateStatus(this.#request.fingerprint, now()) === 'quarantined') {
			this.#completion.refuse(503, 'the request is quarantined: servers crashed while executing it', undefined);
			return undefined;
		}

		if (this.#request.received.forwarding !== undefined) {
			return admission.route;
		}

		const quotaWait = this.#quotaCharge.charge(request, admission.workspace, now());
		if (quotaWait > 0) {
			this.#completion.refuse(429, `workspace ${admission.workspace!.name} is over its quota`, limitRetryAfter(quotaWait, this.#request.remainingTime()));
			return undefined;
		}

		return admission.route;
	}

	#place(): PlacementResult {
		const {received, route, service, workspace} = this.#request;
		return this.#context.dispatcher.place({
			request: received.request,
			route: route!,
			service,
			workspace: workspace?.name,
			isIsolated: workspace?.isIsolated === true,
			excludedServers: this.#triedServers.excluded,
			requiredVersion: this.#response.softwareVersion ?? this.#originVersion,
		});
	}

	// Finds the version of the servers at which a stream that the client takes up may go on, before it is placed.
	async #continueStream(): Promise<void> {
		const {service, received} = this.#request;
		this.#originVersion = await this.#context.findStreamOrigin(service, received.request.resumedRequestId);
		if (this.#completion.isFinished) {
			return;
		}

		if (this.#originVersion === undefined) {
			this.#completion.fail('the software version that began the stream is not known', limitRetryAfter(defaultRetryAfter, this.#request.remainingTime()));
			return;
		}

		this.#placeOrEnqueue();
	}

	// A client that takes the stream up again goes on naming the request that brought the first event.
	#recordOrigin(version: string): void {
		const {request} = this.#request.received;
		this.#context.onStreamBegun(this.#request.service, request.resumedRequestId ?? request.id, version);
	}

	#send(chosen: ChosenServer): void {
		this.#wait!.recordSent();
		this.#triedServers.add(chosen.entry.id);
		this.#attempts!.run(chosen);
	}

	#forward(): boolean {
		return this.#peerAttempts.forward(this.#retries, this.#response.softwareVersion ?? this.#originVersion);
	}

	#failIfPartQuarantined(): boolean {
		if (this.#isTrial && this.#retries.attempts === 0) {
			return false;
		}

		const admission = this.#context.promptPartGuard.admit(sharedPartIds(this.#request.received.request));
		this.#isTrial = admission.type === 'trial';
		if (admission.type !== 'quarantined') {
			return false;
		}

		this.#isQueued = false;
		this.#completion.fail(`prompt part ${admission.partId} is quarantined: servers crashed while executing requests with it`, undefined);
		return true;
	}

	#placeOrEnqueue(): void {
		if (this.#failIfPartQuarantined()) {
			return;
		}

		const remainingTime = this.#request.remainingTime();
		if (remainingTime < minimumRemainingTime) {
			this.#completion.fail('too little time is left', undefined);
			return;
		}

		if (this.#context.isDetached() && this.#forward()) {
			return;
		}

		let placement = this.#wait!.placeInOrder(() => this.#place());
		if (placement.type === 'chosen') {
			this.#send(placement.chosen);
			return;
		}

		if (placement.type === 'none' && this.#context.dispatcher.serverFilter.hasUnreachableServer(this.#request.service) && this.#forward()) {
			return;
		}

		if (placement.type === 'none' && this.#retries.executions === 0 && this.#triedServers.excluded.size > 0) {
			// Every usable server was tried and none executed the request: another attempt is better than a refusal.
			if (!this.#triedServers.reopen(this.#request.isRetryable)) {
				this.#completion.fail('servers refused the request', limitRetryAfter(defaultRetryAfter, remainingTime));
				return;
			}

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
			this.#completion.fail(decision.reason, placement.type === 'full' ? this.#wait!.refuse(decision.retryAfter) : decision.retryAfter);
		}
	}

	#enqueue(maximumQueueTime: Milliseconds): void {
		this.#isQueued = true;
		this.#context.dispatcher.enqueue(this.#request.service, {...this.#wait!.createEntry(maximumQueueTime, this.#context.now()), item: this});
	}

	#onDeadline(): void {
		if (this.#completion.isFinished) {
			return;
		}

		this.#end(outOfTime, undefined);
	}

	// Ends what runs of the request, without another attempt.
	#end(reason: string, retryAfter: Milliseconds | undefined): void {
		if (this.#abort(reason)) {
			this.#retries.executions++;
		}

		this.#completion.fail(reason, retryAfter);
	}

	// Returns whether an attempt was running that a server may have executed.
	#abort(result: string): boolean {
		const hasAbortedAttempt = this.#attempts?.abort(result) === true;
		return this.#peerAttempts.abort(result) || hasAbortedAttempt;
	}

	#onClientDisconnect(): void {
		if (this.#completion.isFinished) {
			return;
		}

		const isSent = this.#abort('client gone');
		this.#completion.abandon(this.#response.hasStarted ? 'answering' : (isSent ? 'sent' : 'waiting'));
	}

	#onFinished(isAbandoned: boolean): void {
		this.#context.runningRequests.remove(this, isAbandoned);
		clearTimeout(this.#deadlineTimer);
		this.#attempts?.stop();
		if (this.#isQueued) {
			this.#isQueued = false;
			this.#context.dispatcher.removeFromQueue(this.#request.service, this);
		}
	}
}
