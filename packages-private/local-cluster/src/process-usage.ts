import {readFile, readdir} from 'node:fs/promises';

const bytesPerKibibyte = 1024;

/** The resources that a process uses, as Linux reports them. */
export type ProcessUsage = {
	/** The largest amount of memory that was resident at any time, in bytes. */
	readonly peakMemory: number;
	/** The number of open descriptors. */
	readonly descriptors: number;
};

/**
 * Reads the resources that a process uses.
 *
 * @param pid - Id of the process.
 * @returns The usage; `undefined` if the process has ended.
 */
export async function readProcessUsage(pid: number): Promise<ProcessUsage | undefined> {
	try {
		const [status, descriptors] = await Promise.all([readFile(`/proc/${pid}/status`, 'utf8'), readdir(`/proc/${pid}/fd`)]);
		const peak = /^VmHWM:\s+(?<size>\d+) kB$/mv.exec(status)?.groups!.size;
		return peak === undefined ? undefined : {peakMemory: Number(peak) * bytesPerKibibyte, descriptors: descriptors.length};
	} catch {
		return undefined;
	}
}
