import {Result} from 'true-myth';
import type {Dispatcher, Pool} from 'undici';
import {type BackendError, backendErrorOf} from './backend-error.js';
import {type BackendConnectionOptions, createConnectionPool} from './connection-pool.js';
import {declinedError} from './http-engine.js';

/** A request to a plain service; the caller's key is no part of it. */
export type ServiceRequest = {
	readonly method: string;
	/** The path and query below the service's root. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array | undefined;
};

/** The answer of a plain service, read whole. */
export type ServiceAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: Uint8Array;
};

/** A plain service behind the router, such as bookings or enrolments. */
export type PlainService = {
	readonly address: string;

	/**
	 * Sends a request once; it is never repeated here.
	 *
	 * @param request - The request.
	 * @param signal - Cancels it.
	 * @returns The whole answer.
	 */
	send(request: ServiceRequest, signal: AbortSignal): Promise<Result<ServiceAnswer, BackendError>>;

	/** Closes the connections. */
	dispose(): Promise<void>;
};

/** A plain service over HTTP. */
export class HttpPlainService implements PlainService {
	readonly address: string;
	readonly #pool: Pool;

	constructor(options: BackendConnectionOptions) {
		this.address = options.address;
		this.#pool = createConnectionPool(options);
	}

	async send(request: ServiceRequest, signal: AbortSignal): Promise<Result<ServiceAnswer, BackendError>> {
		try {
			const response = await this.#pool.request({
				path: request.path, method: request.method, headers: request.headers, body: request.body, signal,
			});
			const body = new Uint8Array(await response.body.arrayBuffer());
			const declined = declinedError(this.address, response.statusCode, response.headers);
			return declined === undefined
				? Result.ok({status: response.statusCode, headers: response.headers, body})
				: Result.err(declined);
		} catch (error) {
			return Result.err(backendErrorOf(error, this.address));
		}
	}

	async dispose(): Promise<void> {
		await this.#pool.destroy();
	}
}
