import type {Socket} from 'node:net';
import type {RandomSource} from '@lacewingpoint/shared';
import {
	type PlatformRequest, type RequestHandler, formatResponseHead, resetConnection,
} from '@lacewingpoint/stand-ins';

/** Number of events of each stream. */
export const eventCount = 12;

/** Time between the events of a stream. */
const eventInterval = 8;

/** Longest time after which a plain service responds. */
const longestServiceTime = 20;

const breakOffShare = 0.4;

/** How a server behaves at present. */
export type ServerBehaviour = {
	isBreakingOff: boolean;
	isLeaving: boolean;
	/** Value of `Retry-After` in refusals; `undefined` while it takes requests. */
	pauseSeconds: number | undefined;
};

/**
 * Creates the body that a request is to be answered with.
 *
 * @param requestId - Id of the request.
 * @returns The body of a plain service.
 */
export function createPlainBody(requestId: string): string {
	return `done ${requestId}`;
}

/**
 * Creates an event of the stream that a request is to be answered with.
 *
 * @param requestId - Id of the request.
 * @param eventId - Id of the event, from 1 to `eventCount`.
 * @returns The event.
 */
export function createEvent(requestId: string, eventId: number): string {
	return `id: ${eventId}\ndata: ${requestId} piece ${eventId}\n\n`;
}

const ways = ['end within an event', 'reset within an event', 'reset after an event'] as const;

/**
 * Creates the handler of a server. It answers with or without a length or chunks, and breaks responses off if its behaviour says so.
 *
 * @param behaviour - Read with each request.
 * @param random - Source of the random numbers.
 * @param executions - Receives the number of executions by request id.
 * @returns The handler.
 */
export function createSoakHandler(behaviour: ServerBehaviour, random: RandomSource, executions: Map<string, number>): RequestHandler {
	return (request, socket, server) => {
		const notice = behaviour.isLeaving ? ['Server-Leaving: 1'] : [];
		if (behaviour.pauseSeconds !== undefined) {
			const lines = ['HTTP/1.1 503 Service Unavailable', 'Not-Executed: 1', `Retry-After: ${behaviour.pauseSeconds}`, ...notice, 'Content-Length: 0', '', ''];
			socket.write(lines.join('\r\n'));
			return;
		}

		const id = request.headers.get('attempt-id') ?? '';
		executions.set(id, (executions.get(id) ?? 0) + 1);
		const isBrokenOff = behaviour.isBreakingOff && random.next() < breakOffShare;
		if (server.id.startsWith('models')) {
			streamEvents(request, socket, {
				notice, isChunked: random.next() < 0.5, breakAt: isBrokenOff ? 1 + Math.floor(random.next() * eventCount) : undefined, way: ways[Math.floor(random.next() * ways.length)]!,
			});
			return;
		}

		setTimeout(() => {
			const body = createPlainBody(id);
			const hasLength = random.next() < 0.5;
			const head = formatResponseHead(request, [...notice, ...(hasLength ? [`Content-Length: ${body.length}`] : [])]);
			if (isBrokenOff) {
				socket.write(`${head}${body.slice(0, 6)}`, () => {
					resetConnection(socket);
				});
			} else if (hasLength) {
				socket.write(`${head}${body}`);
			} else {
				socket.end(`${head}${body}`);
			}
		}, random.next() * longestServiceTime);
	};
}

type StreamPlan = {readonly notice: readonly string[]; readonly isChunked: boolean; readonly breakAt: number | undefined; readonly way: (typeof ways)[number]};

function streamEvents(request: PlatformRequest, socket: Socket, plan: StreamPlan): void {
	const id = request.headers.get('attempt-id') ?? '';
	const frame = (text: string) => plan.isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text;
	socket.write(formatResponseHead(request, ['Content-Type: text/event-stream', ...plan.notice, ...(plan.isChunked ? ['Transfer-Encoding: chunked'] : [])]));
	let next = Number(request.headers.get('last-event-id') ?? 0) + 1;
	const timer = setInterval(() => {
		if (socket.destroyed) {
			clearInterval(timer);
		} else if (next > eventCount) {
			clearInterval(timer);
			if (plan.isChunked) {
				socket.write('0\r\n\r\n');
			} else {
				socket.end();
			}
		} else if (next === plan.breakAt) {
			clearInterval(timer);
			breakOff(socket, frame(createEvent(id, next).slice(0, 9)), plan.way);
		} else {
			socket.write(frame(createEvent(id, next)));
			next++;
		}
	}, eventInterval);
}

function breakOff(socket: Socket, partialEvent: string, way: (typeof ways)[number]): void {
	if (way === 'end within an event') {
		socket.end(partialEvent);
	} else {
		socket.write(way === 'reset within an event' ? partialEvent : '', () => {
			resetConnection(socket);
		});
	}
}
