import {
	type BackendError, type EngineAnswer, type EngineChunk, certainlyDidNotRun,
} from '@lacewingpoint/backend';
import {
	type Placement, type ServerRow, StreamProgress, uncachedTokens,
} from '@lacewingpoint/routing';
import {type Tokens, type Metrics} from '@lacewingpoint/shared';
import {type Result} from 'true-myth';
import type {AdmissionService} from './admission-service.js';
import {authorize} from './authorization.js';
import type {BackendLinks} from './backend-links.js';
import type {CallerStream} from './caller-response.js';
import type {Clock} from './clock.js';
import {type CompletionCall, fingerprintOf} from './completion-call.js';
import {CompletionPrompt} from './completion-prompt.js';
import {readUsage} from './completion-usage.js';
import type {NamedRoute} from './configuration-view.js';
import type {InFlightTable} from './in-flight-table.js';
import {type Refusal, mayHaveRun, notRun} from './router-error.js';
import type {Tables} from './tables.js';

/** What a completion needs of the router. */
export type CompletionContext = {
	readonly tables: Tables;
	readonly admission: AdmissionService;
	readonly backends: BackendLinks;
	readonly inFlight: InFlightTable;
	readonly metrics: Metrics;
	readonly clock: Clock;
	/** An engine that has not begun to answer this long after its predicted time is given up. */
	readonly slowStart: number;
};

/** One caller's completion. */
export type CompletionInput = {
	readonly requestId: string;
	readonly call: CompletionCall;
	readonly named: NamedRoute<'model'>;
	readonly workspace: string;
	readonly secret: string | undefined;
	readonly arrivedAt: number;
	/** Aborted when the caller has gone. */
	readonly signal: AbortSignal;
};

/** A whole answer that is not a stream. */
export type WholeAnswer = {readonly status: number; readonly text: string};

/** How a completion ended. */
export type CompletionEnd
	= | {readonly type: 'streamed'}
		| {readonly type: 'answered'; readonly answer: WholeAnswer}
		| {readonly type: 'gone'}
		| {readonly type: 'refused'; readonly refusal: Refusal};

type AttemptEnd = CompletionEnd | {readonly type: 'failed'; readonly error: BackendError};

/** Aborting without a reason of one's own makes an exception with a stack each time. */
const attemptOver = new Error('the attempt is over');
const longestAttempts = 4;
const statusServerError = 500;

/** Runs one completion: places it, passes its answer on, and resumes elsewhere what breaks off. */
export class CompletionRun {
	readonly #context: CompletionContext;
	readonly #input: CompletionInput;
	readonly #progress = new StreamProgress();
	readonly #failedServers = new Set<string>();
	readonly #fingerprint: number;
	readonly #prompt: CompletionPrompt;
	#mayHaveRun = false;
	#hasFirstToken = false;
	#usedTokens: Tokens | undefined;
	#speedSample: SpeedSample | undefined;

	constructor(context: CompletionContext, input: CompletionInput) {
		this.#context = context;
		this.#input = input;
		this.#fingerprint = fingerprintOf(input.workspace, input.call);
		this.#prompt = new CompletionPrompt(input.workspace, input.named, input.call);
	}

	/** The tokens that ran, as far as it is known; the basis of what the workspace pays. */
	get usedTokens(): Tokens {
		const {call} = this.#input;
		return this.#usedTokens ?? (this.#mayHaveRun ? call.promptTokens + this.#progress.lastSequence + 1 : 0);
	}

	/**
	 * Runs the completion to its end.
	 *
	 * @param stream - The caller's stream; unused when the answer is not a stream.
	 * @returns How it ended; a stream's own ending has not been sent yet when it is refused.
	 */
	async run(stream: CallerStream): Promise<CompletionEnd> {
		this.#context.tables.retries.noteRequest(this.#context.clock.now());
		for (let attempt = 1; ; attempt++) {
			const end = await this.#attempt(stream);
			if (end.type !== 'failed') {
				return end;
			}

			this.#context.metrics.count('attempts_failed', {code: end.error.code});
			this.#mayHaveRun ||= !certainlyDidNotRun(end.error);
			if (attempt >= longestAttempts || !this.#context.tables.retries.take(1, this.#context.clock.now())) {
				return this.#giveUp(end.error);
			}
		}
	}

	async #attempt(stream: CallerStream): Promise<AttemptEnd> {
		const {tables, clock} = this.#context;
		const {call, named, secret, signal} = this.#input;
		const verdict = tables.quarantine.judge(this.#fingerprint, clock.now());
		if (verdict === 'quarantined') {
			return this.#refuse('quarantined', 'backend servers died of this request; it is not run again');
		}

		const request = this.#prompt.placementRequest(this.#avoided(verdict === 'suspect'));
		const placed = await this.#context.admission.place({
			workspace: this.#input.workspace,
			weight: tables.configuration.workspaces.get(this.#input.workspace)?.weight ?? 1,
			priority: named.route.priority,
			model: named.route.model,
			placement: request,
		}, signal);
		if (placed.isErr) {
			return this.#refusal(placed.error);
		}

		const reserved = uncachedTokens(request, placed.value);
		const row = tables.servers.get(placed.value.server);
		const authorized = authorize(tables, clock, named.route, secret);
		if (authorized.isErr || row === undefined || signal.aborted) {
			tables.servers.notePrefilled(placed.value.server, reserved);
			return this.#afterPlacement(authorized, signal);
		}

		return this.#dispatch(stream, {
			row, placement: placed.value, reserved, isSuspect: verdict === 'suspect', blocks: request.blocksFor(row.weightsVersion), call,
		});
	}

	// A suspect is kept apart from others, so that the next death it is part of is its own.
	#avoided(isSuspect: boolean): ReadonlySet<string> {
		return isSuspect ? new Set([...this.#failedServers, ...this.#context.inFlight.serversWithSuspects()]) : this.#failedServers;
	}

	#afterPlacement(authorized: Result<unknown, Refusal>, signal: AbortSignal): AttemptEnd {
		if (signal.aborted) {
			return {type: 'gone'};
		}

		return authorized.isErr
			? this.#refusal(authorized.error)
			: {type: 'failed', error: {layer: 'backend', code: 'not-sent', message: 'the server left the configuration'}};
	}

	async #dispatch(stream: CallerStream, dispatch: Dispatch): Promise<AttemptEnd> {
		const {tables, inFlight, backends, clock} = this.#context;
		const {requestId, signal} = this.#input;
		const {row, placement, reserved} = dispatch;
		const abort = new AbortController();
		const cancelled = AbortSignal.any([signal, abort.signal]);
		const sentAt = clock.now();
		let isReserved = true;
		const release = () => {
			if (isReserved) {
				isReserved = false;
				tables.servers.notePrefilled(placement.server, reserved);
				this.#context.admission.pump();
			}
		};

		inFlight.add({
			requestId, server: placement.server, fingerprint: this.#fingerprint, isSuspect: dispatch.isSuspect,
		});
		// Blocks count as cached from now on: whoever follows queues behind this prefill.
		tables.prefixes.learn(placement.server, row.incarnation ?? '', dispatch.blocks, sentAt);
		this.#guardSlowStart(placement, abort, () => isReserved);
		try {
			const started = await backends.engine(row).start(this.#prompt.engineRequest(requestId, row, this.#progress), cancelled);
			const end = started.isErr
				? {type: 'failed' as const, error: started.error}
				: await this.#pass(stream, started.value, dispatch, () => {
					this.#noteFirstToken(dispatch, sentAt);
					release();
				});
			return await this.#afterAttempt(end, row, abort);
		} finally {
			abort.abort(attemptOver);
			release();
			inFlight.remove(requestId);
		}
	}

	async #afterAttempt(end: AttemptEnd, row: ServerRow, abort: AbortController): Promise<AttemptEnd> {
		if (end.type !== 'failed') {
			return end;
		}

		if (this.#input.signal.aborted) {
			return {type: 'gone'};
		}

		this.#failedServers.add(row.description.id);
		if (end.error.code === 'declined') {
			this.#context.tables.servers.noteFailure(row.description.id, this.#context.clock.now());
		} else if (!abort.signal.aborted) {
			await this.#context.backends.investigate(row);
		}

		return end;
	}

	async #pass(stream: CallerStream, answer: EngineAnswer, dispatch: Dispatch, onFirst: () => void): Promise<AttemptEnd> {
		if (answer.report !== undefined) {
			this.#context.backends.takeReport(dispatch.row.description.id, answer.report);
		}

		this.#mayHaveRun = true;
		return dispatch.call.streams && answer.status === 200
			? this.#passStream(stream, answer, onFirst)
			: this.#passWhole(answer, onFirst);
	}

	async #passWhole(answer: EngineAnswer, onFirst: () => void): Promise<AttemptEnd> {
		const text = await answer.text();
		if (text.isErr) {
			return {type: 'failed', error: text.error};
		}

		if (answer.status >= statusServerError) {
			return {type: 'failed', error: {layer: 'backend', code: 'broken', message: `the engine answered ${answer.status}`}};
		}

		onFirst();
		this.#noteUsage(text.value);
		return {type: 'answered', answer: {status: answer.status, text: text.value}};
	}

	async #passStream(stream: CallerStream, answer: EngineAnswer, onFirst: () => void): Promise<AttemptEnd> {
		for await (const result of answer.chunks) {
			// The caller has its whole answer; only the engine's connection is still read to its end.
			if (this.#progress.isFinished) {
				continue;
			}

			if (result.isErr) {
				return {type: 'failed', error: result.error};
			}

			onFirst();
			const end = await this.#passChunks(stream, result.value);
			if (end !== undefined && end.type !== 'streamed') {
				return end;
			}
		}

		return this.#progress.isFinished
			? {type: 'streamed'}
			: {type: 'failed', error: {layer: 'backend', code: 'incomplete', message: 'the stream ended early'}};
	}

	// What is in order is sent even when a fault follows it; a resume goes on from there.
	async #passChunks(stream: CallerStream, chunks: readonly EngineChunk[]): Promise<AttemptEnd | undefined> {
		const inOrder: Array<Extract<EngineChunk, {type: 'chunk'}>> = [];
		let fault: BackendError | undefined;
		for (const chunk of chunks) {
			fault ??= this.#judge(chunk);
			if (fault === undefined && chunk.type === 'chunk') {
				inOrder.push(chunk);
			}
		}

		if (inOrder.length > 0 && !await stream.send(inOrder)) {
			return {type: 'gone'};
		}

		if (fault !== undefined) {
			return {type: 'failed', error: fault};
		}

		if (!this.#progress.isFinished) {
			return undefined;
		}

		stream.finish();
		return {type: 'streamed'};
	}

	// A repeated number is an engine's fault as much as a gap: its content may differ from what the caller has.
	#judge(chunk: EngineChunk): BackendError | undefined {
		if (chunk.type === 'done') {
			this.#progress.finish();
			return undefined;
		}

		const before = this.#progress.lastSequence;
		if (this.#progress.take(chunk.sequence, chunk.data) !== 'next') {
			return {layer: 'backend', code: 'out-of-order', message: `chunk ${chunk.sequence} after ${before}`};
		}

		if (chunk.data.includes('"usage"')) {
			this.#noteUsage(chunk.data);
		}

		return undefined;
	}

	#guardSlowStart(placement: Placement, abort: AbortController, isWaiting: () => boolean): void {
		const {tables, slowStart, clock} = this.#context;
		const timer = setTimeout(() => {
			if (isWaiting() && !this.#input.call.streams) {
				return;
			}

			if (isWaiting() && tables.retries.take(1, this.#context.clock.now())) {
				tables.servers.noteFailure(placement.server, clock.now());
				this.#context.metrics.count('slow_starts', {server: placement.server});
				abort.abort();
			}
		}, placement.predicted + slowStart);
		timer.unref();
		abort.signal.addEventListener('abort', () => {
			clearTimeout(timer);
		}, {once: true});
	}

	#noteFirstToken(dispatch: Dispatch, sentAt: number): void {
		if (this.#hasFirstToken) {
			return;
		}

		this.#hasFirstToken = true;
		const {tables, metrics, clock} = this.#context;
		const now = clock.now();
		const {row, placement} = dispatch;
		if (this.#input.call.streams) {
			metrics.time('first_token', now - this.#input.arrivedAt, {workspace: this.#input.workspace});
			this.#speedSample = {server: row.description.id, queuedTokens: placement.queuedTokens, elapsed: now - sentAt};
		}
	}

	#noteUsage(text: string): void {
		const usage = readUsage(text);
		if (usage === undefined) {
			return;
		}

		const {metrics, tables} = this.#context;
		const {workspace} = this.#input;
		const promptTokens = usage.prompt_tokens ?? 0;
		const cachedTokens = usage.prompt_tokens_details?.cached_tokens ?? 0;
		this.#usedTokens = usage.total_tokens;
		metrics.count('prompt_tokens', {workspace}, promptTokens);
		metrics.count('cached_tokens', {workspace}, cachedTokens);
		if (this.#speedSample !== undefined) {
			const {server, queuedTokens, elapsed} = this.#speedSample;
			tables.servers.noteSpeed(server, queuedTokens, promptTokens - cachedTokens, elapsed);
		}
	}

	#giveUp(error: BackendError): CompletionEnd {
		return this.#mayHaveRun
			? {type: 'refused', refusal: mayHaveRun(this.#hasFirstToken ? 'stream-broken' : 'backend-failed', 'the backend servers failed this request', error)}
			: {type: 'refused', refusal: {...notRun('no-backend-server', 'no backend server took this request', error.retryAfter ?? retryAfterFailure), cause: error}};
	}

	// Once an engine may have run part of the request, no refusal says that it did not.
	#refusal(refusal: Refusal): CompletionEnd {
		return {type: 'refused', refusal: this.#mayHaveRun ? {...refusal, run: 'unknown'} : refusal};
	}

	#refuse(code: Refusal['code'], message: string): CompletionEnd {
		return this.#refusal(notRun(code, message));
	}
}

type SpeedSample = {readonly server: string; readonly queuedTokens: Tokens; readonly elapsed: number};

type Dispatch = {
	readonly row: ServerRow;
	readonly placement: Placement;
	readonly reserved: Tokens;
	readonly isSuspect: boolean;
	readonly blocks: readonly number[];
	readonly call: CompletionCall;
};

const retryAfterFailure = 1000;
