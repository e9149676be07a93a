import {createHash, randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {
	type BackendError, type ServiceAnswer, certainlyDidNotRun,
} from '@lacewingpoint/backend';
import type {KeptAnswer} from '@lacewingpoint/coordination';
import type {ServerRow} from '@lacewingpoint/routing';
import {Result} from 'true-myth';
import type {Metrics} from '@lacewingpoint/shared';
import {authorize} from './authorization.js';
import type {BackendLinks} from './backend-links.js';
import type {ClaimService, HeldClaim} from './claim-service.js';
import type {Clock} from './clock.js';
import {serviceKey} from './configuration-change.js';
import type {NamedRoute} from './configuration-view.js';
import {type Refusal, mayHaveRun, notRun} from './router-error.js';
import type {Tables} from './tables.js';

/** What a call of a plain service needs of the router. */
export type ServiceContext = {
	readonly tables: Tables;
	readonly backends: BackendLinks;
	readonly claims: ClaimService;
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly keptAnswerBytes: number;
};

/** One caller's call. */
export type ServiceInput = {
	readonly requestId: string;
	readonly named: NamedRoute<'service'>;
	readonly workspace: string;
	readonly secret: string | undefined;
	readonly method: string;
	readonly url: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly idempotencyKey: string | undefined;
};

/** The answer for the caller. */
export type ServiceResult = {readonly status: number; readonly contentType: string; readonly body: Uint8Array};

const passedHeaders = ['content-type', 'accept', 'accept-language', 'idempotency-key', 'if-match', 'if-none-match'] as const;
const retryAfterNoServer = 1000;
const longestAttempts = 3;

/**
 * Picks the headers that go on to a plain service; the caller's key is never among them.
 *
 * @param request - The caller's request.
 * @returns The headers.
 */
export function headersToPass(request: IncomingMessage): Record<string, string> {
	const entries = passedHeaders.map(name => [name, request.headers[name]] as const);
	return Object.fromEntries(entries.filter((entry): entry is [typeof entry[0], string] => typeof entry[1] === 'string'));
}

/** Calls a plain service: at most once unless the route says that the method is idempotent. */
export class ServiceCall {
	readonly #context: ServiceContext;
	readonly #input: ServiceInput;
	readonly #failedServers = new Set<string>();

	constructor(context: ServiceContext, input: ServiceInput) {
		this.#context = context;
		this.#input = input;
	}

	/** @returns The answer, or a refusal that says truthfully whether the call ran. */
	async run(): Promise<Result<ServiceResult, Refusal>> {
		const {idempotencyKey} = this.#input;
		if (this.#isIdempotent()) {
			return this.#runRepeatable();
		}

		return idempotencyKey === undefined ? this.#runOnce(undefined) : this.#runClaimed(idempotencyKey);
	}

	#isIdempotent(): boolean {
		const {named, method} = this.#input;
		const methods: readonly string[] = named.route.idempotentMethods;
		return methods.includes(method);
	}

	async #runRepeatable(): Promise<Result<ServiceResult, Refusal>> {
		this.#context.tables.retries.noteRequest(this.#context.clock.now());
		let isSent = false;
		for (let attempt = 1; ; attempt++) {
			const answer = await this.#send(undefined);
			if (answer.isOk) {
				return Result.ok(resultOf(answer.value));
			}

			if (isRefusal(answer.error)) {
				return Result.err(isSent ? {...answer.error, run: 'unknown'} : answer.error);
			}

			isSent ||= !certainlyDidNotRun(answer.error);
			if (attempt >= longestAttempts || !this.#context.tables.retries.take(1, this.#context.clock.now())) {
				return Result.err(isSent ? failed(answer.error) : untouched(answer.error));
			}
		}
	}

	async #runClaimed(idempotencyKey: string): Promise<Result<ServiceResult, Refusal>> {
		const {method, url, body, workspace} = this.#input;
		const bodyHash = createHash('sha256').update(`${method} ${url}\n`).update(body).digest('hex');
		const claimed = await this.#context.claims.claim(workspace, idempotencyKey, bodyHash, randomUUID());
		if (claimed.isErr) {
			return Result.err(claimed.error);
		}

		if (claimed.value.type === 'replay') {
			this.#context.metrics.count('claims', {outcome: 'replayed'});
			return Result.ok(replayed(claimed.value.answer));
		}

		this.#context.metrics.count('claims', {outcome: 'held'});
		return this.#runOnce(claimed.value.held);
	}

	// Another backend server is tried only after one that certainly did not run the call.
	async #runOnce(held: HeldClaim | undefined): Promise<Result<ServiceResult, Refusal>> {
		for (let attempt = 1; ; attempt++) {
			const answer = await this.#send(held);
			if (answer.isOk) {
				const result = resultOf(answer.value);
				this.#keep(held, result);
				return Result.ok(result);
			}

			if (!isRefusal(answer.error) && !certainlyDidNotRun(answer.error)) {
				return Result.err(failed(answer.error));
			}

			if (isRefusal(answer.error) || attempt >= longestAttempts) {
				return this.#refuseUntouched(held, answer.error);
			}
		}
	}

	async #refuseUntouched(held: HeldClaim | undefined, error: Refusal | BackendError): Promise<Result<ServiceResult, Refusal>> {
		const refusal = isRefusal(error) ? error : untouched(error);
		const isMarked = held === undefined || await this.#context.claims.release(held);
		return Result.err(isMarked ? refusal : {...refusal, run: 'unknown'});
	}

	async #send(held: HeldClaim | undefined): Promise<Result<ServiceAnswer, BackendError | Refusal>> {
		const {tables, clock, backends, metrics, claims} = this.#context;
		const {named, secret, method, url, headers, body, requestId} = this.#input;
		const row = this.#choose();
		if (row === undefined) {
			return Result.err(notRun('no-backend-server', `no backend server for ${named.route.service} can take new work`, retryAfterNoServer));
		}

		// Checked in the same step as the dispatch: a key withdrawn or contact lost during the claim stops it.
		const authorized = authorize(tables, clock, named.route, secret);
		if (authorized.isErr) {
			return Result.err(authorized.error);
		}

		if (held !== undefined) {
			claims.noteDispatched(held);
		}

		const {id} = row.description;
		tables.servers.noteSent(id, 0);
		// The call is not cancelled when its caller goes: what has begun to run is recorded for the resend.
		const answer = await backends.service(row).send({
			method, path: url, headers: {...headers, 'x-request-id': requestId}, body: body.length > 0 ? body : undefined,
		}, new AbortController().signal);
		tables.servers.notePrefilled(id, 0);
		if (answer.isErr) {
			this.#failedServers.add(id);
			tables.servers.noteFailure(id, clock.now());
			metrics.count('service_failures', {server: id, code: answer.error.code});
		}

		return answer;
	}

	#choose(): ServerRow | undefined {
		const {tables, clock} = this.#context;
		const usable = tables.servers.usable(serviceKey(this.#input.named.route.service), clock.now());
		const fresh = usable.filter(row => !this.#failedServers.has(row.description.id));
		// A call that may be repeated is better sent again to a server that failed it than refused.
		const candidates = fresh.length === 0 && this.#isIdempotent() ? usable : fresh;
		return candidates.toSorted((left, right) => left.ownRequests - right.ownRequests)[0];
	}

	#keep(held: HeldClaim | undefined, result: ServiceResult): void {
		if (held === undefined) {
			return;
		}

		const answer: KeptAnswer | undefined = result.body.length > this.#context.keptAnswerBytes
			? undefined
			: {status: result.status, contentType: result.contentType, bodyBase64: Buffer.from(result.body).toString('base64')};
		void this.#context.claims.keep(held, answer);
	}
}

function resultOf(answer: ServiceAnswer): ServiceResult {
	const contentType = answer.headers['content-type'];
	return {
		status: answer.status, contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream', body: answer.body,
	};
}

function replayed(answer: KeptAnswer): ServiceResult {
	return {status: answer.status, contentType: answer.contentType, body: Buffer.from(answer.bodyBase64, 'base64')};
}

function isRefusal(error: Refusal | BackendError): error is Refusal {
	return error.layer === 'router';
}

function failed(error: BackendError): Refusal {
	return mayHaveRun('outcome-unknown', 'the backend server broke off; the call may have run', error);
}

function untouched(error: BackendError): Refusal {
	return {...notRun('no-backend-server', 'no backend server took this call', error.retryAfter ?? retryAfterNoServer), cause: error};
}
