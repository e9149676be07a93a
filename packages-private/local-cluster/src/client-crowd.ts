import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import type {CrowdOptions} from './misbehaving-client.js';

const program = fileURLToPath(new URL('client-crowd-program.ts', import.meta.url));

/** Clients that misbehave, in a process of their own. */
export class ClientCrowd {
	readonly #child: ChildProcess;

	/** @param options - What the clients do. */
	constructor(options: CrowdOptions) {
		this.#child = spawn(process.execPath, ['--import', 'tsx', program, JSON.stringify(options)], {stdio: ['pipe', 'inherit', 'inherit']});
	}

	/** Disconnects all clients and waits until their process has ended. */
	async dispose(): Promise<void> {
		const exit = once(this.#child, 'exit');
		if (this.#child.exitCode === null && this.#child.signalCode === null) {
			this.#child.stdin!.end();
			await exit;
		}
	}
}
