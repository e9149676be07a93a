import {createRecord} from './record.js';
import {Store} from './store.js';
import {Hosts} from './hosts.js';

/** The longest time that a run may take, in milliseconds. */
const longestRun = 110_000;

/**
 * Runs a scenario with a store and ends the process: with status 1 if the rule was broken, 0 if it held, 2 if the scenario could not run.
 *
 * @param url - URL of the scenario's module; the record is written beside it.
 * @param play - Plays the scenario. It gets the store, the hosts, the record, whether there is a disruption, and a function for what is to be disposed; it returns whether the rule was broken.
 */
export async function runScenario(url, play) {
	const record = createRecord(url);
	const store = new Store();
	const hosts = new Hosts(record);
	const disposables = [];
	const dispose = async () => {
		await hosts.dispose();
		for (const disposable of disposables) {
			disposable.dispose();
		}

		store.dispose();
	};

	const end = async (status, text) => {
		clearTimeout(timer);
		record(`exit ${status}: ${text}`);
		await dispose();
		process.stdout.write(`${text}\n`, () => {
			process.exit(status);
		});
	};

	const timer = setTimeout(async () => end(2, 'the scenario took too long'), longestRun);
	// Without a listener, output that nobody reads would end the process before the hosts.
	process.stdout.on('error', () => {/* The record says the same. */});
	process.on('uncaughtException', async error => end(2, `the scenario failed: ${error.stack}`));
	for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM']) {
		process.on(signal, async () => end(2, `ended by ${signal}`));
	}

	try {
		const hasTrouble = process.env.TROUBLE !== '0';
		record(hasTrouble ? 'with the disruption' : 'without the disruption');
		await store.start();
		const isBroken = await play({
			store, hosts, record, hasTrouble, own(disposable) {
				disposables.push(disposable);
				return disposable;
			},
		});
		await end(isBroken ? 1 : 0, isBroken ? 'the rule was broken' : 'the rule held');
	} catch (error) {
		await end(2, `the scenario could not run: ${error.stack}`);
	}
}
