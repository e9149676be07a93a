import {readFileSync} from 'node:fs';
import type {Bytes} from '@lacewingpoint/shared';

const pageSize: Bytes = 4096;

/**
 * Measures the memory that the process occupies, without pages of files such as the program, which the system can read again. Where the
 * system does not tell them apart, they are included.
 *
 * @returns The memory in bytes.
 */
export function measureMemory(): Bytes {
	try {
		const [, resident, shared] = readFileSync('/proc/self/statm', 'latin1').split(' ').map(Number);
		if (resident !== undefined && shared !== undefined && resident > shared) {
			return (resident - shared) * pageSize;
		}
	} catch {
		// Not on this operating system.
	}

	return process.memoryUsage.rss();
}
