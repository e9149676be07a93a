import type {Milliseconds} from '@lacewingpoint/shared';
import type {ChosenServer} from '../placement/placement-request.js';
import type {ReceivedRequest} from '../ports.js';
import {recordAnswer, recordSent} from '../rollouts/answer-recorder.js';
import {
	type Attempt, type AttemptRecord, createAttempt, describeAttempt,
} from './attempt.js';
import type {PipelineContext} from './pipeline-context.js';

/** Accounts for the attempts of one request: the load that they are to the servers, and what the log says of them. */
export class AttemptLedger {
	readonly #context: PipelineContext;
	readonly #received: ReceivedRequest;
	readonly #route: string;
	readonly #records: AttemptRecord[] = [];
	#firstSentAt: Milliseconds | undefined;

	/**
	 * @param context - The components of the host that all requests share.
	 * @param received - The request.
	 * @param route - Name of its route.
	 */
	constructor(context: PipelineContext, received: ReceivedRequest, route: string) {
		this.#context = context;
		this.#received = received;
		this.#route = route;
	}

	/** When the first attempt was made; `undefined` before. */
	get firstSentAt(): Milliseconds | undefined {
		return this.#firstSentAt;
	}

	/** The attempts that have ended, for the log. */
	get records(): readonly AttemptRecord[] {
		return this.#records;
	}

	/**
	 * Begins an attempt, whose load counts at the server from now on.
	 *
	 * @param chosen - The server.
	 * @returns The attempt.
	 */
	begin(chosen: ChosenServer): Attempt {
		const {clusterState, now, onRequestPlaced} = this.#context;
		const {entry} = chosen;
		const attempt = createAttempt(chosen, this.#received.request, now());
		this.#firstSentAt ??= attempt.sentAt;
		clusterState.loads.addRequest(entry.id, attempt.load);
		recordSent(clusterState.rollouts, entry, this.#route);
		clusterState.serverLimits.recordRequest(entry, attempt.sentAt);
		clusterState.health.recordRequestSent(entry.id, attempt.sentAt);
		onRequestPlaced(chosen, this.#received);
		return attempt;
	}

	/**
	 * Ends an attempt and offers its place to queued requests.
	 *
	 * @param attempt - The attempt.
	 * @param result - How it ended, for the log.
	 */
	end(attempt: Attempt, result: string): void {
		const {clusterState, now, dispatcher, onPrefillEnded} = this.#context;
		const {chosen} = attempt;
		if (!attempt.hasFirstByte && chosen.engine !== undefined) {
			onPrefillEnded(chosen, this.#received, false);
		}

		clusterState.loads.removeRequest(chosen.entry.id, attempt.load);
		recordAnswer(clusterState.rollouts, attempt, {route: this.#route, result, now: now()});
		clusterState.health.recordRequestEnded(chosen.entry.id);
		this.#records.push(describeAttempt(attempt, this.#received.receivedAt, {result, endedAt: now()}));
		queueMicrotask(() => {
			dispatcher.dispatchQueued();
		});
	}

	/**
	 * Adds an attempt that was forwarded to a peer, for the log.
	 *
	 * @param record - How it ended.
	 */
	addRecord(record: AttemptRecord): void {
		this.#records.push(record);
	}
}
