import type {ServerEntry} from '@lacewingpoint/routing';
import {
	type Logger, type Metrics, type Milliseconds, describeError, getErrorMessage,
} from '@lacewingpoint/shared';
import type {BackendConnectionPool} from './backend-connection-pool.js';
import type {
	BackendProtocol, HeaderList, WeightsOrder, WeightsReport,
} from './ports.js';

/** A report or an order that takes longer is broken off; servers answer within milliseconds. */
export const controlCallTimeout: Milliseconds = 400;

type CallAnswer = {readonly status: number; readonly body: string};

export type ModelServerClientOptions = {
	readonly connections: BackendConnectionPool;
	readonly backend: BackendProtocol;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Calls to servers that are no clients' requests: reports and orders. */
export class ModelServerClient {
	readonly #options: ModelServerClientOptions;

	constructor(options: ModelServerClientOptions) {
		this.#options = options;
	}

	/**
	 * Asks a model server for its weights.
	 *
	 * @param entry - The server.
	 * @returns Its report; nothing when none came that makes sense.
	 */
	async fetchReport(entry: ServerEntry): Promise<WeightsReport | undefined> {
		const {backend, log, metrics} = this.#options;
		metrics.incrementCounter('reports');
		const answer = await this.#call(entry, 'GET', backend.reportPath, undefined);
		if (answer?.status !== 200) {
			return undefined;
		}

		let body: unknown;
		try {
			body = JSON.parse(answer.body);
		} catch (error) {
			log.warn('report-unreadable', {server: entry.id, reason: getErrorMessage(error)});
			return undefined;
		}

		const report = backend.parseReport(body);
		if (report.isErr) {
			log.warn('report-unreadable', {server: entry.id, reason: describeError(report.error)});
			return undefined;
		}

		return report.value;
	}

	/**
	 * Orders a model server to load weights.
	 *
	 * @param entry - The server.
	 * @param order - The order.
	 * @returns The status of the answer; nothing when none came: the order may still be carried out.
	 */
	async sendOrder(entry: ServerEntry, order: WeightsOrder): Promise<number | undefined> {
		const {backend, metrics} = this.#options;
		metrics.incrementCounter('orders', {model: order.model});
		const answer = await this.#call(entry, 'POST', backend.orderPath, backend.orderBody(order));
		return answer?.status;
	}

	async #call(entry: ServerEntry, method: string, target: string, body: string | undefined): Promise<CallAnswer | undefined> {
		const {connections, backend} = this.#options;
		const headers: HeaderList = backend.controlCallHeaders(entry.id);
		return new Promise(resolve => {
			let status = 0;
			const chunks: Uint8Array[] = [];
			const exchange = connections.send(entry, {
				method, target, headers: body === undefined ? headers : [...headers, 'Content-Type', 'application/json'], body: body === undefined ? undefined : Buffer.from(body),
			}, {
				onHead(headStatus) {
					status = headStatus;
				},
				onData(chunk) {
					chunks.push(chunk);
				},
				onEnd() {
					clearTimeout(timer);
					resolve({status, body: Buffer.concat(chunks).toString('utf8')});
				},
				onFailure() {
					clearTimeout(timer);
					resolve(undefined);
				},
			});
			const timer = setTimeout(() => {
				exchange.abort();
				resolve(undefined);
			}, controlCallTimeout);
		});
	}
}
