import type {ServerResponse} from 'node:http';
import {type Refusal, refusalBody} from './router-error.js';

/**
 * Answers with a refusal.
 *
 * @param response - The caller's response.
 * @param refusal - The refusal.
 */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const seconds = refusal.retryAfter === undefined ? undefined : Math.max(1, Math.ceil(refusal.retryAfter / 1000));
	response.writeHead(refusal.status, {
		'content-type': 'application/json',
		...(seconds === undefined ? {} : {'retry-after': String(seconds)}),
	});
	response.end(refusalBody(refusal));
}

/** A stream of server-sent events to one caller; a slow caller holds the engine back instead of filling memory. */
export class CallerStream {
	readonly #response: ServerResponse;
	readonly #silenceTimeout: number;
	#hasBegun = false;

	constructor(response: ServerResponse, silenceTimeout: number) {
		this.#response = response;
		this.#silenceTimeout = silenceTimeout;
	}

	/** True once the head has been sent and the request can no longer be refused by status. */
	get hasBegun(): boolean {
		return this.#hasBegun;
	}

	/**
	 * Sends chunks that arrived together.
	 *
	 * @param chunks - Their numbers within the answer and their data.
	 * @returns False when the caller has gone or reads nothing for too long.
	 */
	async send(chunks: ReadonlyArray<{readonly sequence: number; readonly data: string}>): Promise<boolean> {
		let text = '';
		for (const {sequence, data} of chunks) {
			text += `id: ${sequence}\ndata: ${data}\n\n`;
		}

		return this.#write(text);
	}

	/** Ends a complete answer with the terminal marker. */
	finish(): void {
		this.#response.end('data: [DONE]\n\n');
	}

	/**
	 * Ends a broken answer with an explicit error, never with the terminal marker.
	 *
	 * @param refusal - Why it broke off.
	 */
	fail(refusal: Refusal): void {
		if (this.#hasBegun) {
			this.#response.end(`event: error\ndata: ${refusalBody(refusal)}\n\n`);
		} else {
			sendRefusal(this.#response, refusal);
		}
	}

	async #write(text: string): Promise<boolean> {
		if (this.#response.destroyed) {
			return false;
		}

		if (!this.#hasBegun) {
			this.#hasBegun = true;
			this.#response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		}

		return this.#response.write(text) || this.#drain();
	}

	async #drain(): Promise<boolean> {
		return new Promise(resolve => {
			const end = (hasDrained: boolean) => {
				clearTimeout(timer);
				this.#response.off('drain', onDrain);
				this.#response.off('close', onClose);
				resolve(hasDrained);
			};

			const onDrain = () => {
				end(true);
			};

			const onClose = () => {
				end(false);
			};

			const timer = setTimeout(() => {
				this.#response.destroy();
				end(false);
			}, this.#silenceTimeout);
			this.#response.once('drain', onDrain);
			this.#response.once('close', onClose);
		});
	}
}
