import type {Socket} from 'node:net';
import type {RandomSource} from '@lacewingpoint/shared';
import {
	type PlatformRequest, type RequestHandler, formatResponseHead, resetConnection,
} from '@lacewingpoint/stand-ins';

/** Number of events of each stream. */
export const eventCount = 12;

/** Time between the events of a stream. */
const eventInterval = 8;

/** Time between the events of a long stream, so that it lasts for seconds. */
const longEventInterval = 250;

/** Longest time after which a plain service responds. */
const longestServiceTime = 20;

/** Time after which it responds to a long call. */
const longServiceTime = 800;

/** What a server sends of an event without an end: pieces of this size, so many every ten milliseconds, until this size. */
const endless = {
	piece: Buffer.alloc(1000, 'x'), piecesAtOnce: 50, interval: 10, largestSize: 8_000_000,
} as const;

/** How the end of a stream is marked. */
const framings = ['chunks', 'length', 'close'] as const;

/** Longest comment line before each event, in characters. */
const longestPadding = 30;

const breakOffShare = 0.4;

/** How a server behaves at present. */
export type ServerBehaviour = {
	isBreakingOff: boolean;
	/** Whether some streams go on with an event without an end, and some other responses have a status that does not exist. */
	isMalformed?: boolean;
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

/** Which requests servers have executed, and when they were at work on them. */
export class ExecutionLog {
	readonly #executions = new Map<string, {count: number; runningCount: number; endedAt: number}>();

	/**
	 * Records the beginning of an execution.
	 *
	 * @param requestId - Id of the request.
	 */
	begin(requestId: string): void {
		const execution = this.#executions.get(requestId) ?? {count: 0, runningCount: 0, endedAt: 0};
		this.#executions.set(requestId, execution);
		execution.count++;
		execution.runningCount++;
	}

	/**
	 * Records the end of an execution, as the server sees it.
	 *
	 * @param requestId - Id of the request.
	 */
	end(requestId: string): void {
		const execution = this.#executions.get(requestId)!;
		execution.runningCount--;
		execution.endedAt = performance.now();
	}

	/**
	 * @param requestId - Id of the request.
	 * @returns How often servers began to execute it.
	 */
	count(requestId: string): number {
		return this.#executions.get(requestId)?.count ?? 0;
	}

	/**
	 * @param requestId - Id of the request.
	 * @param time - A monotonic time in the past.
	 * @returns Whether a server was still at work on it.
	 */
	wasAtWork(requestId: string, time: number): boolean {
		const execution = this.#executions.get(requestId);
		return execution !== undefined && (execution.runningCount > 0 || execution.endedAt >= time);
	}
}

const ways = ['end within an event', 'reset within an event', 'reset after an event'] as const;

/**
 * Creates the handler of a server. It answers with or without a length or chunks, and breaks responses off if its behaviour says so.
 *
 * @param behaviour - Read with each request.
 * @param random - Source of the random numbers.
 * @param executions - Receives the executions.
 * @returns The handler.
 */
export function createSoakHandler(behaviour: ServerBehaviour, random: RandomSource, executions: ExecutionLog): RequestHandler {
	return (request, socket, server) => {
		const notice = behaviour.isLeaving ? ['Server-Leaving: 1'] : [];
		if (behaviour.pauseSeconds !== undefined) {
			const lines = ['HTTP/1.1 503 Service Unavailable', 'Not-Executed: 1', `Retry-After: ${behaviour.pauseSeconds}`, ...notice, 'Content-Length: 0', '', ''];
			socket.write(lines.join('\r\n'));
			return;
		}

		const id = request.headers.get('attempt-id') ?? '';
		executions.begin(id);
		const onEnd = () => {
			executions.end(id);
		};

		const isBrokenOff = behaviour.isBreakingOff && random.next() < breakOffShare;
		if (server.id.startsWith('models')) {
			streamEvents(request, socket, {
				notice, onEnd, isEndless: behaviour.isMalformed === true && random.next() < breakOffShare, framing: framings[Math.floor(random.next() * framings.length)]!, padding: ': '.padEnd(Math.floor(random.next() * longestPadding), '.'), breakAt: isBrokenOff ? 1 + Math.floor(random.next() * eventCount) : undefined, way: ways[Math.floor(random.next() * ways.length)]!,
			});
			return;
		}

		if (behaviour.isMalformed === true && random.next() < breakOffShare) {
			onEnd();
			socket.write('HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n');
			return;
		}

		setTimeout(() => {
			onEnd();
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
		}, request.target.startsWith('/long/') ? longServiceTime : random.next() * longestServiceTime);
	};
}

type StreamPlan = {readonly onEnd: () => void; readonly isEndless: boolean; readonly notice: readonly string[]; readonly framing: (typeof framings)[number]; readonly padding: string; readonly breakAt: number | undefined; readonly way: (typeof ways)[number]};

function streamEvents(request: PlatformRequest, socket: Socket, plan: StreamPlan): void {
	const id = request.headers.get('attempt-id') ?? '';
	const isChunked = plan.framing === 'chunks';
	const frame = (text: string) => isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text;
	// Each execution writes other bytes, so that the length of one is not that of another.
	const formatEvent = (index: number) => `${plan.padding}\n${createEvent(id, index)}`;
	let next = Number(request.headers.get('last-event-id') ?? 0) + 1;
	const wholeBody = Array.from({length: Math.max(eventCount - next + 1, 0)}, (_, index) => formatEvent(next + index)).join('');
	const framingLines = {chunks: ['Transfer-Encoding: chunked'], length: [`Content-Length: ${wholeBody.length}`], close: []}[plan.framing];
	socket.write(formatResponseHead(request, ['Content-Type: text/event-stream', ...plan.notice, ...framingLines]));
	const stop = () => {
		clearInterval(timer);
		plan.onEnd();
	};

	const timer = setInterval(() => {
		if (socket.destroyed) {
			stop();
		} else if (next > eventCount) {
			stop();
			if (isChunked) {
				socket.write('0\r\n\r\n');
			} else if (plan.framing === 'close') {
				socket.end();
			}
		} else if (next === plan.breakAt) {
			stop();
			breakOff(socket, frame(formatEvent(next).slice(0, -9)), plan.way);
		} else if (plan.isEndless && next > 1) {
			stop();
			sendWithoutEnd(socket, frame);
		} else {
			socket.write(frame(formatEvent(next)));
			next++;
		}
	}, request.target.startsWith('/chat/') ? longEventInterval : eventInterval);
}

function sendWithoutEnd(socket: Socket, frame: (text: string) => string): void {
	const piece = frame(endless.piece.toString());
	let sentBytes = 0;
	const timer = setInterval(() => {
		if (socket.destroyed || sentBytes > endless.largestSize) {
			clearInterval(timer);
			socket.destroy();
			return;
		}

		for (let count = 0; count < endless.piecesAtOnce && !socket.writableNeedDrain; count++) {
			socket.write(piece);
			sentBytes += piece.length;
		}
	}, endless.interval);
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
