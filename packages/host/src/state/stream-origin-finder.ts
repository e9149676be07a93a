import {setTimeout as pause} from 'node:timers/promises';
import type {HostDescription} from '@lacewingpoint/coordination';
import {type StreamOrigin, combineOrigins, hashRequestId} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from './cluster-state.js';
import type {PeerClient} from './peer-snapshots.js';

/** How long the relays' answers are awaited. They take milliseconds; one that is gone does not answer at all. */
const answerTimeout: Milliseconds = 250;

export type StreamOriginFinderOptions = {
	readonly clusterState: ClusterState;
	readonly peerClient: PeerClient;
	readonly now: () => Milliseconds;
	/** @returns The relays of all failure domains, without this host. */
	relays(): readonly HostDescription[];
};

/** Finds the software version that began a stream that a client takes up, from this host's records or by asking the relays. */
export class StreamOriginFinder {
	readonly #options: StreamOriginFinderOptions;

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
		const {clusterState, peerClient, now, relays} = this.#options;
		const stream = requestId === undefined ? undefined : hashRequestId(requestId);
		const known = clusterState.streamOrigins.find(service, stream, now());
		if (known.type === 'recorded') {
			return known.version;
		}

		const peers = relays();
		if (peers.length === 0) {
			return known.type === 'only' || known.type === 'new' ? known.version : undefined;
		}

		// Any other host may have records that this one lacks, and this host may be cut off from the news of other versions.
		const answers: StreamOrigin[] = [];
		const recorded = new Promise<void>(resolve => {
			const asked = peers.map(async peer => {
				const answer = await peerClient.fetchStreamOrigin(peer.snapshotAddress, {service, stream});
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
		return answers.length === 0 ? undefined : combineOrigins([known, ...answers]);
	}
}
