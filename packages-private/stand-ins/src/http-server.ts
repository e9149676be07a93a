import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import findMyWay, {type HTTPMethod} from 'find-my-way';

/** Handles one request; the body is whole. */
export type Handler = (request: IncomingMessage, response: ServerResponse, body: Uint8Array, parameters: Readonly<Record<string, string | undefined>>) => void | Promise<void>;

/** A small HTTP server of a stand-in. */
export class StandInServer {
	readonly #router = findMyWay({
		defaultRoute(_request, response) {
			sendJson(response, 404, {error: 'not found'});
		},
	});

	readonly #server: Server;

	constructor() {
		this.#server = createServer((request, response) => {
			this.#router.lookup(request, response);
		});
		this.#server.keepAliveTimeout = 60_000;
	}

	/** The address that the server listens at. */
	get address(): string {
		const {address, port} = this.#server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	/**
	 * Adds a route.
	 *
	 * @param method - The HTTP method or methods.
	 * @param path - The path pattern.
	 * @param handler - The handler.
	 */
	on(method: HTTPMethod | HTTPMethod[], path: string, handler: Handler): void {
		this.#router.on(method, path, async (request, response, parameters) => {
			const chunks: Uint8Array[] = [];
			for await (const chunk of request) {
				chunks.push(chunk as Uint8Array);
			}

			await handler(request, response, Buffer.concat(chunks), parameters);
		});
	}

	/**
	 * Starts to listen on loopback.
	 *
	 * @param port - The port; 0 picks a free one.
	 */
	async listen(port: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
	}

	/** Cuts every connection and stops. */
	async dispose(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}
}

/**
 * Sends a JSON answer.
 *
 * @param response - The response.
 * @param status - The HTTP status.
 * @param value - The body.
 */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}

/**
 * Reads a body as text.
 *
 * @param body - The bytes.
 * @returns The text.
 */
export function textOf(body: Uint8Array): string {
	return new TextDecoder().decode(body);
}
