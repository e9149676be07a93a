import {setTimeout as pause} from 'node:timers/promises';
import type {HostDescription} from '@lacewingpoint/coordination';
import {
	type ServerEntry, type StreamOrigin, combineOrigins, hashRequestId,
} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from './cluster-state.js';
import type {OriginQuestion, PeerClient} from './peer-snapshots.js';

/** How long the relays' answers are awaited. They take milliseconds; one that is gone does not answer at all. */
const answerTimeout: Milliseconds = 250;

/** Streams that are taken up together share a read of the store. */
const readDelay: Milliseconds = 5;

export type StreamOriginFinderOptions = {
	readonly clusterState: ClusterState;
	readonly peerClient: PeerClient;
	readonly now: () => Milliseconds;
	/** @returns The relays of all failure domains, without this host. */
	relays(): readonly HostDescription[];
	/** @returns The servers that the store lists at present, read linearizably; `undefined` if it does not respond. */
	readServers(): Promise<readonly ServerEntry[] | undefined>;
};

/** Finds the software version that began a stream that a client takes up, from this host's records or by asking the relays. */
export class StreamOriginFinder {
	readonly #options: StreamOriginFinderOptions;
	/** The read of the store that has not begun yet. */
	#nextRead: Promise<readonly ServerEntry[] | undefined> | undefined;

	constructor(options: StreamOriginFinderOptions) {
		this.#options = options;
	}

	/**
	 * Finds the software version of the servers at which a stream may go on.
	 *
	 * @param service - Name of the service.
	 * @param requestId - Id of the request that brought the first event; `undefined` if the client does not name it.
	 * @returns The version, or `undefined` if nobody knows it.
	 */
	async findVersion(service: string, requestId: string | undefined): Promise<string | undefined> {
		const {clusterState, now, relays} = this.#options;
		const stream = requestId === undefined ? undefined : hashRequestId(requestId);
		const known = clusterState.streamOrigins.find(service, stream, now());
		if (known.type === 'recorded') {
			return known.version;
		}

		const peers = relays();
		if (peers.length === 0) {
			const version = known.type === 'only' || known.type === 'new' ? known.version : undefined;
			return this.#confirmOnly(service, version);
		}

		// Any other host may have records that this one lacks, and this host may be cut off from the news of other versions.
		const answers = await this.#askRelays(peers, {service, stream});
		const version = answers.length === 0 ? undefined : combineOrigins([known, ...answers]);
		// Relays that are cut off together with this host know of no other versions either.
		return answers.length === peers.length || answers.some(({type}) => type === 'recorded') ? version : this.#confirmOnly(service, version);
	}

	// Resolves with the answers of the relays once one has a record, all have answered or the time is over.
	async #askRelays(peers: readonly HostDescription[], question: OriginQuestion): Promise<readonly StreamOrigin[]> {
		const answers: StreamOrigin[] = [];
		const recorded = new Promise<void>(resolve => {
			const asked = peers.map(async peer => {
				const answer = await this.#options.peerClient.fetchStreamOrigin(peer.snapshotAddress, question);
				if (answer.isOk) {
					answers.push(answer.value);
					if (answer.value.type === 'recorded') {
						resolve();
					}
				}
			});
			void Promise.allSettled(asked).then(() => {
				resolve();
			});
		});
		await Promise.race([recorded, pause(answerTimeout)]);
		return [...answers];
	}

	// Returns the version if the store lists servers of no other one.
	async #confirmOnly(service: string, version: string | undefined): Promise<string | undefined> {
		if (version === undefined) {
			return undefined;
		}

		// A read that has begun before the stream was taken up may lack the version that began it.
		this.#nextRead ??= pause(readDelay).then(async () => {
			this.#nextRead = undefined;
			return this.#options.readServers();
		});
		const entries = await Promise.race([this.#nextRead, pause(answerTimeout, undefined)]);
		const versions = entries?.filter(entry => entry.service === service).map(({softwareVersion}) => softwareVersion ?? '');
		return versions?.every(other => other === version) === true ? version : undefined;
	}
}
