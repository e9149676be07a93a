import sonicBoom from 'sonic-boom';
import type {Bytes} from './units.js';

/** Text lines written in the background; lines that do not fit are dropped and counted. */
export type BoundedOutput = {
	/** Takes a line, or drops it when the buffer is full. */
	write(line: string): void;
	/** @returns Lines dropped so far. */
	droppedLines(): number;
	/** Writes what is buffered, waiting for it; for the end of the process. */
	flush(): void;
};

const flushInterval = 50;

/**
 * Writes to standard output without ever blocking the process: a pipe that nobody reads would block a plain write.
 *
 * @param bufferBytes - What may wait to be written.
 * @returns The output.
 */
export function createBoundedOutput(bufferBytes: Bytes): BoundedOutput {
	const stream = new sonicBoom.SonicBoom({
		fd: 1, sync: false, minLength: 4096, maxLength: bufferBytes, periodicFlush: flushInterval,
	});
	let dropped = 0;
	stream.on('drop', () => {
		dropped++;
	});
	// A reader that has gone away must not end the process; its lines count as dropped.
	stream.on('error', () => {
		dropped++;
	});
	return {
		write(line) {
			stream.write(`${line}\n`);
		},
		droppedLines: () => dropped,
		flush() {
			try {
				stream.flushSync();
			} catch {
				dropped++;
			}
		},
	};
}
