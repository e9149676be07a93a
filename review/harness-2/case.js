import {appendFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment} from './deployment.js';

/** Exit codes of a script. */
export const results = {held: 0, broken: 1, couldNotRun: 2};

/**
 * Runs a case on a deployment of its own and ends this process with the result. What the case logs goes to `record.txt` in its folder.
 *
 * @param caseUrl - `import.meta.url` of the case.
 * @param run - Gets the deployment, the log, whether there is a disruption, and a clock from the start of the case; returns a result.
 */
export async function runCase(caseUrl, run) {
	const record = fileURLToPath(new URL('record.txt', caseUrl));
	const isTroubled = process.env.TROUBLE !== '0';
	const startedAt = performance.now();
	const now = () => Math.round(performance.now() - startedAt);
	const log = line => {
		appendFileSync(record, `${line}\n`);
	};

	writeFileSync(record, `TROUBLE=${isTroubled ? 1 : 0}, Node.js ${process.version}, ${process.arch}; times in ms\n`);
	const deployment = new Deployment();
	let result = results.couldNotRun;
	try {
		result = await run({
			deployment, log, isTroubled, now,
		});
	} catch (error) {
		log(`could not run: ${error.stack}`);
	}

	await deployment.dispose();
	log(`result: ${result}`);
	process.exit(result);
}

/** Sends requests at an even pace until it is stopped. */
export class Traffic {
	outcomes = [];
	#isStopped = false;
	#sequence = 0;
	#pending = [];
	#loop;

	/**
	 * @param interval - Time between two requests, in milliseconds.
	 * @param send - Sends the request with the given number; resolves to its outcome, with `sentAt` and `isServed`.
	 */
	constructor(interval, send) {
		this.#loop = this.#run(interval, send);
	}

	/** Sends no more, and waits for what is under way. */
	async stop() {
		this.#isStopped = true;
		await this.#loop;
		await Promise.all(this.#pending);
	}

	/** @returns How many of the requests that were sent in a time were served. */
	count(from, until) {
		const sent = this.outcomes.filter(({sentAt}) => sentAt >= from && sentAt < until);
		return {sent: sent.length, served: sent.filter(({isServed}) => isServed).length};
	}

	async #run(interval, send) {
		const startedAt = performance.now();
		while (!this.#isStopped) {
			this.#pending.push(this.#send(send));
			await pause(Math.max(startedAt + (this.#sequence * interval) - performance.now(), 0));
		}
	}

	async #send(send) {
		this.#sequence++;
		this.outcomes.push(await send(this.#sequence));
	}
}

/** @returns The share of requests that were not served. */
export function lostShare({sent, served}) {
	return sent === 0 ? 1 : 1 - (served / sent);
}
