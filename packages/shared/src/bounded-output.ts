import sonicBoom from 'sonic-boom';
import type {Bytes, Milliseconds} from './units.js';

/** Buffered line output that never blocks; lines that do not fit into the buffer are dropped and counted. */
export type BoundedOutput = {
	/** Queues a line for writing, or drops it when the buffer is full. */
	write(line: string): void;
	/** @returns The number of lines dropped so far, failed writes included. */
	droppedLines(): number;
	/** Writes all buffered lines synchronously. Meant for use before the process exits. */
	flush(): void;
};

const flushInterval: Milliseconds = 50;

/**
 * Creates an output that writes to standard output asynchronously. A synchronous write would block the process when standard output
 * is a pipe that nobody reads.
 *
 * @param bufferBytes - Maximum size of the data waiting to be written.
 * @returns The output.
 */
export function createBoundedOutput(bufferBytes: Bytes): BoundedOutput {
	const stream = new sonicBoom.SonicBoom({
		fd: 1, sync: false, minLength: 4096, maxLength: bufferBytes, periodicFlush: flushInterval,
	});
	let droppedLineCount = 0;
	stream.on('drop', () => {
		droppedLineCount++;
	});
	// Without a listener, an error such as EPIPE from a closed pipe would end the process. A failed write counts as a dropped line.
	stream.on('error', () => {
		droppedLineCount++;
	});
	return {
		write(line) {
			stream.write(`${line}\n`);
		},
		droppedLines: () => droppedLineCount,
		flush() {
			try {
				stream.flushSync();
			} catch {
				droppedLineCount++;
			}
		},
	};
}
