import {randomUUID} from 'node:crypto';
import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import {type RouteState, hostsOf} from '@lacewingpoint/coordination';
import {rankEntryHosts} from '@lacewingpoint/routing';
import {type Disposable, messageOf} from '@lacewingpoint/shared';
import findMyWay from 'find-my-way';
import {Result} from 'true-myth';
import {authorize} from './authorization.js';
import {bearerKey, isKeyIn, readBody} from './caller-request.js';
import {CallerStream, sendRefusal} from './caller-response.js';
import {type CompletionCall, parseCompletion} from './completion-call.js';
import {type CompletionContext, type CompletionEnd, CompletionRun} from './completion-run.js';
import type {NamedRoute} from './configuration-view.js';
import type {CreditService} from './credit-service.js';
import {type Refusal, notRun} from './router-error.js';
import {
	type ServiceContext, type ServiceInput, ServiceCall, headersToPass,
} from './service-call.js';

export type CallersServerOptions = {
	readonly hostId: string;
	readonly address: string;
	readonly bodyBytes: number;
	readonly headerBytes: number;
	readonly answerTokens: number;
	readonly callerSilence: number;
	/** How long callers may keep an address answer. */
	readonly addressLifetimeSeconds: number;
};

export type CallersContext = CompletionContext & ServiceContext & {readonly credit: CreditService};

type Caller = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: string;
	readonly secret: string | undefined;
	readonly arrivedAt: number;
};

/** The HTTP server that callers talk to. */
export class CallersServer implements Disposable {
	readonly #context: CallersContext;
	readonly #options: CallersServerOptions;
	readonly #server: Server;
	#open = 0;
	#isStopping = false;

	constructor(context: CallersContext, options: CallersServerOptions) {
		this.#context = context;
		this.#options = options;
		const router = findMyWay({
			maxParamLength: 500,
			defaultRoute: (request, response) => {
				this.#serve(request, response, async caller => this.#callService(caller));
			},
		});
		const on = (method: 'GET' | 'POST', path: string, handle: (caller: Caller) => Promise<void>) => {
			router.on(method, path, (request, response) => {
				this.#serve(request, response, handle);
			});
		};

		on('POST', '/v1/chat/completions', async caller => this.#complete(caller, '/v1/chat/completions'));
		on('POST', '/v1/completions', async caller => this.#complete(caller, '/v1/completions'));
		on('GET', '/v1/models', async caller => this.#listModels(caller));
		on('GET', '/v1/entry-hosts', async caller => this.#listEntryHosts(caller));
		this.#server = createServer({maxHeaderSize: options.headerBytes, requestTimeout: 60_000}, (request, response) => {
			router.lookup(request, response);
		});
		this.#server.keepAliveTimeout = 65_000;
	}

	/** The requests that are being served. */
	get openRequests(): number {
		return this.#open;
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		const [ip, port] = this.#options.address.split(':');
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(Number(port), ip, resolve);
		});
	}

	/** Refuses new requests from now on; those being served go on. */
	stopAccepting(): void {
		this.#isStopping = true;
		this.#server.closeIdleConnections();
	}

	async dispose(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	#serve(request: IncomingMessage, response: ServerResponse, handle: (caller: Caller) => Promise<void>): void {
		const requestId = randomUUID();
		const caller: Caller = {
			request, response, requestId, secret: bearerKey(request), arrivedAt: this.#context.clock.now(),
		};
		response.setHeader('x-request-id', requestId);
		response.setHeader('x-lacewingpoint-host', this.#options.hostId);
		if (this.#isStopping) {
			response.setHeader('connection', 'close');
			sendRefusal(response, notRun('stopping', 'this host is stopping; use another address', 1));
			return;
		}

		this.#open++;
		void this.#guard(caller, handle);
	}

	async #guard(caller: Caller, handle: (caller: Caller) => Promise<void>): Promise<void> {
		try {
			await handle(caller);
		} catch (error) {
			this.#context.metrics.count('internal_errors');
			sendRefusal(caller.response, {
				...notRun('internal', 'an internal error'), run: 'unknown', cause: {layer: 'router', code: 'internal', message: messageOf(error)},
			});
		} finally {
			this.#open--;
		}
	}

	#refuse(caller: Caller, refusal: Refusal): void {
		this.#context.metrics.count('refusals', {code: refusal.code, run: refusal.run});
		sendRefusal(caller.response, refusal);
	}

	async #complete(caller: Caller, path: CompletionCall['path']): Promise<void> {
		const body = await readBody(caller.request, this.#options.bodyBytes);
		const call = body.andThen(bytes => parseCompletion(path, bytes, {answerTokens: this.#options.answerTokens}));
		if (call.isErr) {
			this.#refuse(caller, call.error);
			return;
		}

		const named = this.#context.tables.configuration.modelRoutes.get(call.value.route);
		const admitted = this.#admit(caller, named?.route, [JSON.stringify(call.value.body)], `no route serves the model ${call.value.route}`);
		if (admitted.isErr) {
			this.#refuse(caller, admitted.error);
			return;
		}

		await this.#runCompletion(caller, call.value, named!, admitted.value);
	}

	#admit(caller: Caller, route: RouteState | undefined, passedOn: readonly string[], unknown: string): Result<Admitted, Refusal> {
		if (route === undefined) {
			return Result.err(notRun('unknown-route', unknown));
		}

		if (isKeyIn(caller.secret, passedOn)) {
			return Result.err(notRun('key-in-request', 'the request repeats its key outside the Authorization header'));
		}

		return authorize(this.#context.tables, this.#context.clock, route, caller.secret);
	}

	async #runCompletion(caller: Caller, call: CompletionCall, named: NamedRoute<'model'>, admitted: Admitted): Promise<void> {
		const charge = admitted.isCharged ? await this.#context.credit.charge(admitted.workspace, call.promptTokens + call.answerTokens) : undefined;
		if (charge?.isErr === true) {
			this.#refuse(caller, charge.error);
			return;
		}

		const gone = new AbortController();
		caller.response.once('close', () => {
			gone.abort(callerGone);
		});
		const stream = new CallerStream(caller.response, this.#options.callerSilence);
		const run = new CompletionRun(this.#context, {
			requestId: caller.requestId, call, named, workspace: admitted.workspace, secret: caller.secret, arrivedAt: caller.arrivedAt, signal: gone.signal,
		});
		const end = await run.run(stream);
		if (charge?.isOk === true) {
			this.#context.tables.credit.settle(charge.value, run.usedTokens, this.#context.clock.now());
		}

		this.#endCompletion(caller, stream, end);
	}

	#endCompletion(caller: Caller, stream: CallerStream, end: CompletionEnd): void {
		this.#context.metrics.count('completions', {outcome: end.type});
		if (end.type === 'refused') {
			this.#context.metrics.count('refusals', {code: end.refusal.code, run: end.refusal.run});
			stream.fail(end.refusal);
		} else if (end.type === 'answered') {
			caller.response.writeHead(end.answer.status, {'content-type': 'application/json'});
			caller.response.end(end.answer.text);
		}
	}

	async #callService(caller: Caller): Promise<void> {
		const {request} = caller;
		const url = request.url ?? '/';
		const named = this.#context.tables.configuration.serviceRoute(url.split('?', 1)[0]!);
		const body = await readBody(request, this.#options.bodyBytes);
		if (body.isErr) {
			this.#refuse(caller, body.error);
			return;
		}

		const headers = headersToPass(request);
		const passedOn = [url, ...Object.values(headers), new TextDecoder().decode(body.value)];
		const admitted = this.#admit(caller, named?.route, passedOn, `no route serves ${url.split('?', 1)[0]!}`);
		if (admitted.isErr) {
			this.#refuse(caller, admitted.error);
			return;
		}

		await this.#runService(caller, admitted.value, {
			requestId: caller.requestId,
			named: named!,
			workspace: admitted.value.workspace,
			secret: caller.secret,
			method: request.method ?? 'GET',
			url,
			headers,
			body: body.value,
			idempotencyKey: headers['idempotency-key'],
		});
	}

	async #runService(caller: Caller, admitted: Admitted, input: ServiceInput): Promise<void> {
		const {credit, tables, clock, metrics} = this.#context;
		const price = input.named.route.tokensPerRequest;
		const charge = admitted.isCharged && price > 0 ? await credit.charge(admitted.workspace, price) : undefined;
		if (charge?.isErr === true) {
			this.#refuse(caller, charge.error);
			return;
		}

		const result = await new ServiceCall(this.#context, input).run();
		if (charge?.isOk === true) {
			tables.credit.settle(charge.value, result.isErr && result.error.run === 'not-run' ? 0 : price, clock.now());
		}

		if (result.isErr) {
			this.#refuse(caller, result.error);
			return;
		}

		metrics.count('service_calls', {route: input.named.name});
		caller.response.writeHead(result.value.status, {'content-type': result.value.contentType});
		caller.response.end(result.value.body);
	}

	async #listModels(caller: Caller): Promise<void> {
		const {tables, clock} = this.#context;
		const allowed = [...tables.configuration.modelRoutes.values()].filter(({route}) => authorize(tables, clock, route, caller.secret).isOk);
		const data = allowed.map(({name}) => ({id: name, object: 'model', owned_by: 'lacewingpoint'}));
		sendJson(caller.response, {object: 'list', data}, 0);
	}

	// Answered without a key as well: a caller may not have been told one yet, and addresses are no secret.
	async #listEntryHosts(caller: Caller): Promise<void> {
		const {tables, clock} = this.#context;
		const query = new URL(caller.request.url ?? '/', 'http://0.0.0.0').searchParams;
		const serving = new Set(tables.contact.serving(clock.now()));
		const epoch = tables.contact.epoch;
		const hosts = epoch === undefined ? [] : hostsOf(epoch).filter(host => serving.has(host.id));
		const cell = this.#cellOf(caller.secret, query.get('model') ?? undefined);
		const ranked = rankEntryHosts({cell, failureDomain: query.get('failure_domain') ?? undefined}, hosts);
		sendJson(caller.response, {hosts: ranked.map(host => ({id: host.id, address: host.callersAddress, failure_domain: host.failureDomain}))}, this.#options.addressLifetimeSeconds);
	}

	// A caller that names no model gets the primary of the first one; with one model that is the right one.
	#cellOf(secret: string | undefined, routeName: string | undefined): string {
		const {configuration, servers} = this.#context.tables;
		const workspace = (secret === undefined ? undefined : configuration.workspaceOf(secret)) ?? '';
		const named = configuration.modelRoutes.get(routeName ?? '') ?? [...configuration.modelRoutes.values()][0];
		return named === undefined ? workspace : servers.cells(named.route.model).rank(workspace)[0]!;
	}
}

const callerGone = new Error('the caller has gone');

type Admitted = {readonly workspace: string; readonly isCharged: boolean};

function sendJson(response: ServerResponse, value: unknown, lifetimeSeconds: number): void {
	response.writeHead(200, {
		'content-type': 'application/json',
		'cache-control': lifetimeSeconds > 0 ? `max-age=${lifetimeSeconds}` : 'no-store',
	});
	response.end(JSON.stringify(value));
}
