import type {HostDescription} from '@lacewingpoint/coordination';
import {selectForwardingHost} from '@lacewingpoint/routing';
import type {
	Disposable, Metrics, Milliseconds, RandomSource,
} from '@lacewingpoint/shared';
import type {HostCapability} from '../members/host-protocol.js';
import {
	BackendConnectionPool, type Exchange, type ExchangeHandler, defaultConnectionLimits,
} from './backend-connection-pool.js';
import {type ForwardedRequest, encodeForwardedRequest, forwardedRequestPath} from './forwarded-request.js';

/** Hosts of other regions answer within a few hundred milliseconds. */
const peerConnectTimeout: Milliseconds = 500;

/** Limit on the running requests that this host has forwarded to one peer. */
const maximumRequestsPerPeer = 128;

/** A peer that could not be reached or takes no requests gets none for this long. */
const peerBackoff: Milliseconds = 500;

/** How a forwarded request ended; the peer was `unable` if it does not know such requests. */
export type ForwardingOutcome = 'answered' | 'refused' | 'unable' | 'failed' | 'unreachable' | 'aborted';

export type PeerForwarderOptions = {
	readonly description: HostDescription;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
	/** @returns The peers that reach servers. */
	listServing(): readonly HostDescription[];
};

/** Forwards requests to peers with links to servers. */
export class PeerForwarder implements Disposable {
	readonly #options: PeerForwarderOptions;
	readonly #connections: BackendConnectionPool;
	readonly #runningRequests = new Map<string, number>();
	readonly #backoffUntil = new Map<string, Milliseconds>();
	/** Peers that do not know forwarded requests. */
	readonly #unableIncarnations = new Map<string, string>();

	constructor(options: PeerForwarderOptions) {
		this.#options = options;
		this.#connections = new BackendConnectionPool({
			...defaultConnectionLimits,
			connectTimeout: peerConnectTimeout,
			now: options.now,
			onResponseHead() {/* What servers say of themselves reaches this host as gossip of the peer. */},
			onConnectionOpened() {
				options.metrics.incrementCounter('peer_connections');
			},
		});
	}

	/**
	 * Chooses a peer to send a request on.
	 *
	 * @param excludedPeers - Names of the peers that were tried already.
	 * @returns The peer; `undefined` if none with links to servers takes requests.
	 */
	choosePeer(excludedPeers: ReadonlySet<string>): HostDescription | undefined {
		const {description, random, now, listServing} = this.#options;
		const peers = listServing().filter(({name}) => name !== description.name
			&& !excludedPeers.has(name)
			&& now() >= (this.#backoffUntil.get(name) ?? 0)
			&& this.#runningRequestsAt(name) < maximumRequestsPerPeer);
		return selectForwardingHost(this.#selectAble(peers), {region: description.region, random, runningRequests: name => this.#runningRequestsAt(name)});
	}

	/**
	 * Records that a request is about to be sent to a peer; when it is over, call `recordEnd`.
	 *
	 * @param peer - The peer.
	 */
	recordStart(peer: HostDescription): void {
		this.#runningRequests.set(peer.name, this.#runningRequestsAt(peer.name) + 1);
	}

	/**
	 * Sends a request to a peer.
	 *
	 * @param peer - The peer.
	 * @param forwarded - The request.
	 * @param handler - Callbacks for the response.
	 * @returns Controls of the exchange.
	 */
	send(peer: HostDescription, forwarded: ForwardedRequest, handler: ExchangeHandler): Exchange {
		return this.#connections.send({id: peer.name, incarnation: peer.incarnation, address: peer.snapshotAddress}, {
			method: 'POST', target: forwardedRequestPath, headers: ['host', peer.snapshotAddress], body: encodeForwardedRequest(forwarded),
		}, handler);
	}

	/**
	 * Records that a forwarded request has ended.
	 *
	 * @param peer - The peer.
	 * @param outcome - How it ended, for the metrics.
	 */
	recordEnd(peer: HostDescription, outcome: ForwardingOutcome): void {
		const running = this.#runningRequestsAt(peer.name) - 1;
		if (running > 0) {
			this.#runningRequests.set(peer.name, running);
		} else {
			this.#runningRequests.delete(peer.name);
		}

		if (outcome === 'unreachable') {
			this.#backoffUntil.set(peer.name, this.#options.now() + peerBackoff);
		}

		this.#options.metrics.incrementCounter('forwarded_requests', {outcome});
	}

	/**
	 * Records that a peer does not know forwarded requests, because it is of an earlier build.
	 *
	 * @param peer - The peer.
	 */
	recordUnable(peer: HostDescription): void {
		this.#unableIncarnations.set(peer.name, peer.incarnation);
	}

	/** Closes all idle connections. */
	dispose(): void {
		this.#connections.dispose();
	}

	#runningRequestsAt(name: string): number {
		return this.#runningRequests.get(name) ?? 0;
	}

	// Those that announce the capability; if there are none, those of builds that announce nothing, unless they were found unable.
	#selectAble(peers: readonly HostDescription[]): readonly HostDescription[] {
		const announced = peers.filter(({capabilities}) => capabilities?.includes('forwarding' satisfies HostCapability) === true);
		return announced.length > 0 ? announced : peers.filter(({name, incarnation, capabilities}) => capabilities === undefined && this.#unableIncarnations.get(name) !== incarnation);
	}
}
