import type {ServerResponse} from 'node:http';
import type {KeyValueEntry} from '@lacewingpoint/platform';
import {
	type Handler, StandInServer, sendJson, textOf,
} from './http-server.js';
import {KeyValueTable} from './key-value-table.js';

const encode = (text: string) => Buffer.from(text).toString('base64');
const decode = (text: string) => Buffer.from(text, 'base64').toString();

type WireWrite = {readonly request_put: {readonly key: string; readonly value: string; readonly lease?: string}};
type WireTransaction = {
	readonly compare: ReadonlyArray<{readonly key: string; readonly mod_revision: string}>;
	readonly success: readonly WireWrite[];
};

const wireEntry = (entry: KeyValueEntry) => ({
	key: encode(entry.key), value: encode(entry.value), mod_revision: String(entry.revision), create_revision: String(entry.createdRevision),
});

/** The faults of the platform stand-in, set by `POST /faults`. */
export type PlatformFaults = {
	down?: boolean;
	delay?: number;
	loseWriteAnswers?: number;
	rubbish?: boolean;
};

/** The platform as one process: the key-value service in etcd's JSON shapes, and the host list. */
export class PlatformStandIn {
	readonly server = new StandInServer();
	readonly table = new KeyValueTable(() => performance.now());
	faults: PlatformFaults = {};
	readonly #versions = new Map<string, readonly string[]>();
	#hosts: unknown[] = [];

	constructor() {
		this.#on('/v3/kv/range', body => this.#range(body as {readonly key: string; readonly min_mod_revision?: string}));
		this.#on('/v3/kv/txn', body => this.#transaction(body as WireTransaction), true);
		this.#on('/v3/lease/grant', body => ({ID: this.table.grantLease(Number((body as {TTL: string}).TTL) * 1000)}));
		this.#on('/v3/lease/keepalive', body => ({result: {TTL: this.table.renewLease((body as {ID: string}).ID) ? '1' : '0'}}));
		this.#on('/v3/lease/revoke', body => {
			this.table.revokeLease((body as {ID: string}).ID);
			return {};
		});
		this.server.on('POST', '/v3/watch', (_request, response, body) => {
			this.#watch(response, JSON.parse(textOf(body)) as {create_request: {key: string}});
		});
		this.server.on('GET', '/v1/hosts', (_request, response) => {
			sendJson(response, 200, {hosts: this.#hosts});
		});
		this.server.on('PUT', '/v1/hosts', (_request, response, body) => {
			this.#hosts = JSON.parse(textOf(body)) as unknown[];
			sendJson(response, 200, {});
		});
		this.server.on('GET', '/v1/models/:model/versions', (_request, response, _body, {model}) => {
			sendJson(response, 200, {versions: this.#versions.get(model ?? '') ?? ['v1', 'v2', 'v3']});
		});
		this.server.on('PUT', '/v1/models/:model/versions', (_request, response, body, {model}) => {
			this.#versions.set(model ?? '', JSON.parse(textOf(body)) as string[]);
			sendJson(response, 200, {});
		});
		this.server.on('POST', '/faults', (_request, response, body) => {
			this.faults = JSON.parse(textOf(body)) as PlatformFaults;
			sendJson(response, 200, {});
		});
		this.server.on('GET', '/counters', (_request, response) => {
			sendJson(response, 200, {reads: this.table.reads, writes: this.table.writes});
		});
	}

	#on(path: string, answer: (body: unknown) => unknown, isWrite = false): void {
		const handler: Handler = async (request, response, body) => {
			if (this.faults.down === true) {
				request.socket.destroy();
				return;
			}

			if (this.faults.delay !== undefined) {
				await new Promise(resolve => {
					setTimeout(resolve, this.faults.delay);
				});
			}

			if (this.faults.rubbish === true) {
				response.end('<html>');
				return;
			}

			const value = answer(JSON.parse(textOf(body)));
			if (isWrite && (this.faults.loseWriteAnswers ?? 0) > 0) {
				this.faults.loseWriteAnswers!--;
				request.socket.destroy();
				return;
			}

			sendJson(response, 200, value);
		};

		this.server.on('POST', path, handler);
	}

	#range(body: {readonly key: string; readonly min_mod_revision?: string}): unknown {
		const reading = this.table.list(decode(body.key), Number(body.min_mod_revision ?? 0));
		return {header: {revision: String(reading.revision)}, kvs: reading.entries.map(entry => wireEntry(entry))};
	}

	#transaction(body: WireTransaction): unknown {
		const writes = body.success.map((write, index) => ({
			key: decode(write.request_put.key),
			value: decode(write.request_put.value),
			expected: Number(body.compare[index]!.mod_revision),
			...(write.request_put.lease === '0' ? {} : {lease: write.request_put.lease}),
		}));
		const outcome = this.table.compareAndSwap(writes);
		if (outcome.type === 'written') {
			return {header: {revision: String(outcome.revision)}, succeeded: true};
		}

		return {header: {revision: '0'}, succeeded: false, responses: [{response_range: {kvs: outcome.found.map(entry => wireEntry(entry))}}]};
	}

	#watch(response: ServerResponse, body: {readonly create_request: {readonly key: string}}): void {
		if (this.faults.down === true) {
			response.destroy();
			return;
		}

		response.writeHead(200, {'content-type': 'application/json'});
		response.write(`${JSON.stringify({result: {created: true}})}\n`);
		const stop = this.table.watch(decode(body.create_request.key), () => {
			if (this.faults.down !== true) {
				response.write(`${JSON.stringify({result: {events: [{}]}})}\n`);
			}
		});
		response.on('close', stop);
	}
}
