import {hashText} from '@lacewingpoint/shared';
import type {HostReport} from './host-directory.js';

/** Changes of a list of hosts. */
export type HostReportChanges = {readonly reported: readonly HostReport[]; readonly departed: readonly string[]};

/**
 * A list of hosts of which only changes are sent. Sender and receiver each keep one; a digest shows whether both hold the same hosts, so
 * that a lost message is noticed.
 */
export class HostReports {
	readonly #keys = new Map<string, string>();
	#digest = 0;

	/** An order-independent hash of the hosts, their incarnations, states and roles; 0 for an empty list. */
	get digest(): number {
		return this.#digest;
	}

	/**
	 * Replaces the list.
	 *
	 * @param hosts - The hosts that it holds from now on.
	 * @returns What has changed.
	 */
	replace(hosts: readonly HostReport[]): HostReportChanges {
		const names = new Set(hosts.map(host => host.description.name));
		const departed = [...this.#keys.keys()].filter(name => !names.has(name));
		const reported = hosts.filter(host => this.#keys.get(host.description.name) !== createKey(host));
		this.apply({reported, departed});
		return {reported, departed};
	}

	/**
	 * Applies changes of the sender's list.
	 *
	 * @param changes - The changes.
	 */
	apply(changes: HostReportChanges): void {
		for (const name of changes.departed) {
			this.#remove(name);
		}

		for (const host of changes.reported) {
			const {name} = host.description;
			this.#remove(name);
			const key = createKey(host);
			this.#keys.set(name, key);
			this.#toggle(key);
		}
	}

	#remove(name: string): void {
		const key = this.#keys.get(name);
		if (key !== undefined) {
			this.#keys.delete(name);
			this.#toggle(key);
		}
	}

	// Adds or removes an entry: exclusive or is its own inverse.
	#toggle(key: string): void {
		// eslint-disable-next-line no-bitwise
		this.#digest = (this.#digest ^ hashText(key)) >>> 0;
	}
}

function createKey({description, state, role}: HostReport): string {
	return `${description.name} ${description.incarnation} ${state} ${role}`;
}
