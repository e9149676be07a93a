import type {ServerEntry} from '@lacewingpoint/routing';
import {
	type Bytes, type Logger, type Metrics, type Milliseconds, describeError, getErrorMessage,
} from '@lacewingpoint/shared';
import type {BackendConnectionPool} from '../requests/backend-connection-pool.js';
import type {
	BackendProtocol, HeaderList, WeightsOrder, WeightsReport,
} from '../ports.js';

/** Timeout of a control call. Servers respond within milliseconds. */
export const controlCallTimeout: Milliseconds = 400;

/** Largest response to a control call; a report has a few kilobytes. */
const maximumResponseSize: Bytes = 1_048_576;

type CallResponse = {readonly status: number; readonly body: string};

export type ModelServerClientOptions = {
	readonly connections: BackendConnectionPool;
	readonly backend: BackendProtocol;
	readonly log: Logger;
	readonly metrics: Metrics;
	/** @returns Whether a server wants no requests at present, so that no call is sent to it. */
	isPaused(entry: ServerEntry): boolean;
};

/** Control calls to model servers: reads their weights reports and sends orders to load weights. */
export class ModelServerClient {
	readonly #options: ModelServerClientOptions;

	constructor(options: ModelServerClientOptions) {
		this.#options = options;
	}

	/**
	 * Fetches the weights report of a model server.
	 *
	 * @param entry - Directory entry of the model server.
	 * @returns The report; `undefined` if the call failed, its status is not 200 or the report is invalid.
	 */
	async fetchReport(entry: ServerEntry): Promise<WeightsReport | undefined> {
		const {backend, log, metrics} = this.#options;
		metrics.incrementCounter('reports');
		const response = await this.#call(entry, 'GET', backend.reportPath, undefined);
		if (response?.status !== 200) {
			return undefined;
		}

		let body: unknown;
		try {
			body = JSON.parse(response.body);
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
	 * Sends an order to load weights to a model server.
	 *
	 * @param entry - Directory entry of the model server.
	 * @param order - The version to load and the fencing token of the lease holder.
	 * @returns The response status; `undefined` if the call failed, in which case the server may still execute the order.
	 */
	async sendOrder(entry: ServerEntry, order: WeightsOrder): Promise<number | undefined> {
		const {backend, metrics} = this.#options;
		metrics.incrementCounter('orders', {model: order.model});
		const response = await this.#call(entry, 'POST', backend.orderPath, backend.orderBody(order));
		return response?.status;
	}

	async #call(entry: ServerEntry, method: string, target: string, body: string | undefined): Promise<CallResponse | undefined> {
		const {connections, backend, log, isPaused} = this.#options;
		if (isPaused(entry)) {
			return undefined;
		}

		const headers: HeaderList = backend.controlCallHeaders(entry.id);
		return new Promise(resolve => {
			let status = 0;
			const chunks: Uint8Array[] = [];
			let receivedBytes = 0;
			const giveUp = () => {
				clearTimeout(timer);
				exchange.abort({isDelivered: status > 0});
				resolve(undefined);
			};

			const exchange = connections.send(entry, {
				method, target, headers: body === undefined ? headers : [...headers, 'Content-Type', 'application/json'], body: body === undefined ? undefined : Buffer.from(body),
			}, {
				onHead(headStatus) {
					status = headStatus;
				},
				onData(chunk) {
					chunks.push(chunk);
					receivedBytes += chunk.length;
					if (receivedBytes > maximumResponseSize) {
						log.warn('control-response-too-large', {server: entry.id, target});
						giveUp();
					}
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
			const timer = setTimeout(giveUp, controlCallTimeout);
		});
	}
}
