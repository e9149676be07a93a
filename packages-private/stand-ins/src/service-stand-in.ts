import {setTimeout as sleep} from 'node:timers/promises';
import {StandInServer, sendJson, textOf} from './http-server.js';

/** The faults of the plain-service stand-in, set by `POST /faults`. */
export type ServiceFaults = {
	/** Runs the next requests, then cuts their connections without an answer. */
	loseAnswers?: number;
	/** Waits this many milliseconds before it answers. */
	delay?: number;
	/** Declines with `x-not-run: true`. */
	decline?: boolean;
};

/** One request as it arrived. */
export type SeenRequest = {readonly method: string; readonly path: string; readonly headers: string; readonly body: string};

/** A plain service that books whatever it is sent and remembers every request it ran. */
export class ServiceStandIn {
	readonly server = new StandInServer();
	readonly ran: SeenRequest[] = [];
	faults: ServiceFaults = {};

	constructor() {
		this.server.on('POST', '/faults', (_request, response, body) => {
			this.faults = JSON.parse(textOf(body)) as ServiceFaults;
			sendJson(response, 200, {});
		});
		this.server.on('GET', '/ran', (_request, response) => {
			sendJson(response, 200, this.ran);
		});
		this.server.on(['GET', 'POST', 'PUT', 'DELETE', 'PATCH'], '*', async (request, response, body) => {
			if (this.faults.decline === true) {
				response.writeHead(503, {'x-not-run': 'true', 'retry-after': '1'});
				response.end();
				return;
			}

			this.ran.push({
				method: request.method!, path: request.url!, headers: JSON.stringify(request.rawHeaders), body: textOf(body),
			});
			if ((this.faults.loseAnswers ?? 0) > 0) {
				this.faults.loseAnswers!--;
				request.socket.destroy();
				return;
			}

			await sleep(this.faults.delay ?? 0);
			sendJson(response, 201, {booking: this.ran.length, echo: textOf(body)});
		});
	}
}
