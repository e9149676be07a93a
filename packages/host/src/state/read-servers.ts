import type {ServerEntry} from '@lacewingpoint/routing';
import type {ControlStore} from '../ports.js';

/**
 * Reads the servers that the store lists at present.
 *
 * @param store - The store, which is read linearizably.
 * @returns The readable entries; `undefined` if the store does not respond.
 */
export async function readServers(store: Pick<ControlStore, 'readAll'>): Promise<readonly ServerEntry[] | undefined> {
	const batch = await store.readAll();
	return batch.isErr ? undefined : batch.value.changes.flatMap(change => change.type === 'server' ? [change.entry] : []);
}
