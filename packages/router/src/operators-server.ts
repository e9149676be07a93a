import {type ServerResponse, createServer} from 'node:http';
import {type Register, registerSchema} from '@lacewingpoint/coordination';
import {type Disposable, type Metrics} from '@lacewingpoint/shared';
import findMyWay from 'find-my-way';
import * as v from 'valibot';
import type {Clock} from './clock.js';
import type {Tables} from './tables.js';

export type OperatorsServerOptions = {
	readonly hostId: string;
	readonly incarnation: number;
	readonly address: string;
};

const holdsSchema = v.object({registers: v.array(registerSchema)});
const largestQuestion = 2_097_152;

/** The operators' own port: health, readiness, metrics, and what is in force here. */
export class OperatorsServer implements Disposable {
	readonly #tables: Tables;
	readonly #clock: Clock;
	readonly #metrics: Metrics;
	readonly #options: OperatorsServerOptions;
	readonly #server;

	constructor(tables: Tables, clock: Clock, metrics: Metrics, options: OperatorsServerOptions) {
		this.#tables = tables;
		this.#clock = clock;
		this.#metrics = metrics;
		this.#options = options;
		const router = findMyWay({
			defaultRoute(_request, response) {
				send(response, 404, {error: 'not found'});
			},
		});
		router.on('GET', '/healthz', (_request, response) => {
			send(response, 200, {status: 'ok'});
		});
		router.on('GET', '/readyz', (_request, response) => {
			const contact = tables.contact.state(clock.now());
			send(response, contact === 'lost' ? 503 : 200, {ready: contact !== 'lost', contact});
		});
		router.on('GET', '/metrics', (_request, response) => {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
			response.end(this.#metrics.print());
		});
		router.on('GET', '/v1/status', (_request, response) => {
			send(response, 200, this.#status());
		});
		router.on('POST', '/v1/holds', async (request, response) => {
			await this.#answerHolds(request, response);
		});
		this.#server = createServer((request, response) => {
			router.lookup(request, response);
		});
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		const [ip, port] = this.#options.address.split(':');
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(Number(port), ip, resolve);
		});
	}

	async dispose(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#status() {
		const now = this.#clock.now();
		const {contact, tickets, servers, credit} = this.#tables;
		return {
			host: this.#options.hostId,
			incarnation: this.#options.incarnation,
			contact: contact.state(now),
			ready: contact.isReady,
			epoch: contact.epoch?.number ?? 0,
			joint: contact.epoch?.previousHosts !== undefined,
			members: contact.epoch?.hosts.map(host => host.id) ?? [],
			highestTicket: tickets.highestNumber,
			digest: tickets.digest(),
			credit: credit.levels(),
			servers: servers.rows().map(row => ({
				id: row.description.id,
				serves: row.description.serves,
				incarnation: row.incarnation,
				weightsVersion: row.weightsVersion,
				leaving: row.isLeaving,
				drained: row.description.isDrained,
				ownTokens: row.ownTokens,
				otherTokens: row.otherTokens,
				running: row.runningRequests,
				tokensPerSecond: Math.round(row.tokensPerSecond),
			})),
		};
	}

	async #answerHolds(request: AsyncIterable<unknown>, response: ServerResponse): Promise<void> {
		const text = await readText(request);
		const checked = v.safeParse(holdsSchema, parse(text));
		if (!checked.success) {
			send(response, 400, {error: 'malformed question'});
			return;
		}

		const registers: readonly Register[] = checked.output.registers;
		send(response, 200, {
			host: this.#options.hostId, incarnation: this.#options.incarnation, ready: this.#tables.contact.isReady, holds: this.#tables.tickets.holds(registers),
		});
	}
}

function send(response: ServerResponse, status: number, value: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}

async function readText(request: AsyncIterable<unknown>): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request) {
		size += (chunk as Uint8Array).length;
		if (size > largestQuestion) {
			return '';
		}

		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString();
}

function parse(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
