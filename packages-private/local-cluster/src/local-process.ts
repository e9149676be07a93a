import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

const distribution = fileURLToPath(new URL('../../../dist/', import.meta.url));
const longestOutput = 2_000_000;

/** One program of the system as a process of its own. */
export class LocalProcess {
	readonly name: string;
	readonly #child: ChildProcess;
	#output = '';
	#errors = '';

	/**
	 * @param name - For messages.
	 * @param program - A program of the build.
	 * @param parameters - Its arguments.
	 * @param environment - Variables beside those of this process.
	 */
	constructor(name: string, program: string, parameters: readonly string[], environment: Readonly<Record<string, string>> = {}) {
		this.name = name;
		this.#child = spawn(process.execPath, [`${distribution}${program}.mjs`, ...parameters], {
			stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...environment},
		});
		this.#child.stdout!.on('data', chunk => {
			this.#output = `${this.#output}${String(chunk)}`.slice(-longestOutput);
		});
		this.#child.stderr!.on('data', chunk => {
			this.#errors = `${this.#errors}${String(chunk)}`.slice(-longestOutput);
		});
	}

	get pid(): number {
		return this.#child.pid!;
	}

	get isRunning(): boolean {
		return this.#child.exitCode === null && this.#child.signalCode === null;
	}

	/** What the process printed to standard output. */
	get standardOutput(): string {
		return this.#output;
	}

	/** What the process printed to standard error. */
	get standardError(): string {
		return this.#errors;
	}

	/**
	 * Sends a signal.
	 *
	 * @param signal - Such as SIGKILL, SIGSTOP or SIGCONT.
	 */
	sendSignal(signal: NodeJS.Signals): void {
		this.#child.kill(signal);
	}

	/**
	 * Waits for the end of the process.
	 *
	 * @returns Its exit code; nothing when a signal ended it.
	 */
	async waitForExit(): Promise<number | undefined> {
		if (this.isRunning) {
			await once(this.#child, 'exit');
		}

		return this.#child.exitCode ?? undefined;
	}

	/** Kills the process, frozen or not, and waits for its end. */
	async kill(): Promise<void> {
		this.#child.kill('SIGKILL');
		await this.waitForExit();
	}
}
