import type {Exchange, ExchangeHandler} from './backend-connection-pool.js';

/**
 * Creates the exchange with a server whose address, which another writer or a peer has reported, no socket can connect to.
 *
 * @param handler - Its `onFailure` is called soon, as for a server that is not reached.
 * @param reason - Why there is no connection.
 * @returns Controls of the exchange.
 */
export function createFailedExchange(handler: ExchangeHandler, reason: string): Exchange {
	const timer = setImmediate(() => {
		handler.onFailure({wasWritten: false, reason});
	});
	return {
		isReused: false,
		pause() {/* Nothing is received. */},
		resume() {/* Nothing is received. */},
		abort() {
			clearImmediate(timer);
		},
	};
}
