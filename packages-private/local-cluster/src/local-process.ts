import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

/** The directory to which `npm run build` writes the programs. */
export const currentBuildDirectory = fileURLToPath(new URL('../../../dist/', import.meta.url));

/** In characters, for each of the two outputs; older text is discarded. */
const maxOutputLength = 2_000_000;

/** A child process that runs a program of the build. */
export class LocalProcess {
	readonly name: string;
	readonly #child: ChildProcess;
	#standardOutput = '';
	#standardError = '';

	/**
	 * @param name - Name for messages.
	 * @param program - File name of the program in the build directory, without extension.
	 * @param parameters - Command-line arguments.
	 * @param environment - Environment variables in addition to those of this process.
	 * @param buildDirectory - Directory of the program.
	 */
	constructor(name: string, program: string, parameters: readonly string[], environment: Readonly<Record<string, string>> = {}, buildDirectory = currentBuildDirectory) {
		this.name = name;
		this.#child = spawn(process.execPath, [join(buildDirectory, `${program}.mjs`), ...parameters], {
			stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...environment},
		});
		this.#child.stdout!.on('data', chunk => {
			this.#standardOutput = `${this.#standardOutput}${String(chunk)}`.slice(-maxOutputLength);
		});
		this.#child.stderr!.on('data', chunk => {
			this.#standardError = `${this.#standardError}${String(chunk)}`.slice(-maxOutputLength);
		});
	}

	get pid(): number {
		return this.#child.pid!;
	}

	get isRunning(): boolean {
		return this.#child.exitCode === null && this.#child.signalCode === null;
	}

	/** How the process ended: its exit code or the signal that ended it; `running` before. */
	get ending(): string {
		return this.isRunning ? 'running' : this.#child.signalCode ?? `exit code ${this.#child.exitCode}`;
	}

	/** The last part of what the process wrote to standard output. */
	get standardOutput(): string {
		return this.#standardOutput;
	}

	/** The last part of what the process wrote to standard error. */
	get standardError(): string {
		return this.#standardError;
	}

	/**
	 * Sends a signal to the process.
	 *
	 * @param signal - The signal, such as SIGKILL, SIGSTOP or SIGCONT.
	 */
	sendSignal(signal: NodeJS.Signals): void {
		this.#child.kill(signal);
	}

	/**
	 * Waits until the process has ended.
	 *
	 * @returns The exit code; undefined if the process was ended by a signal.
	 */
	async waitForExit(): Promise<number | undefined> {
		if (this.isRunning) {
			await once(this.#child, 'exit');
		}

		return this.#child.exitCode ?? undefined;
	}

	/** Kills the process, even if it is stopped, and waits until it has ended. */
	async kill(): Promise<void> {
		this.#child.kill('SIGKILL');
		await this.waitForExit();
	}
}
