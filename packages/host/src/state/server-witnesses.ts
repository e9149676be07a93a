import type {HostDescription} from '@lacewingpoint/coordination';
import type {Milliseconds, RandomSource} from '@lacewingpoint/shared';
import type {ConnectionTarget} from '../requests/backend-connection-pool.js';
import type {ClusterState} from './cluster-state.js';
import type {PeerClient} from './peer-snapshots.js';
import type {ContactQuestion, ServerContact} from './server-contact.js';

/** The number of peers that are asked about one server. */
const witnessCount = 2;

/** The time within which a rejection shows that a server was overloaded when it went down. */
const overloadWindow: Milliseconds = 1000;

/** Why a server is out of reach, as far as this host and its peers see. */
export type UnreachableCause = 'crashed' | 'link-lost' | 'overloaded';

export type ServerWitnessesOptions = {
	readonly hostName: string;
	readonly clusterState: ClusterState;
	readonly peerClient: PeerClient;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
	isDetached(): boolean;
	/** @returns Whether the server accepts a connection. */
	canConnect(server: ConnectionTarget): Promise<boolean>;
};

/**
 * Finds out with the help of peers why a server is out of reach. Designed for lost links of one host or of many, during which servers look
 * crashed to these hosts and are in use by the others, and for servers that fall over under load.
 */
export class ServerWitnesses {
	readonly #options: ServerWitnessesOptions;

	constructor(options: ServerWitnessesOptions) {
		this.#options = options;
	}

	/**
	 * Answers the question of a peer.
	 *
	 * @param question - The server.
	 * @returns What this host knows; it tries to connect if it has not heard from the server since.
	 */
	async answer({server, incarnation, age}: ContactQuestion): Promise<ServerContact> {
		const {clusterState, now, isDetached, canConnect} = this.#options;
		const entry = clusterState.servers.findEntry(server);
		if (isDetached() || entry?.incarnation !== incarnation) {
			return {contact: 'unknown', isOverloaded: false};
		}

		const isReached = clusterState.health.hasSentSince(server, now() - age) || await canConnect(entry);
		return {contact: isReached ? 'reached' : 'unreachable', isOverloaded: this.#isOverloaded(server, age)};
	}

	/**
	 * Asks some peers about a server that this host does not reach.
	 *
	 * @param server - The server, in the incarnation that broke off a request.
	 * @param brokenAt - Monotonic time at which it broke off the request.
	 * @returns The cause; `crashed` unless a peer knows better.
	 */
	async findCause(server: ConnectionTarget, brokenAt: Milliseconds): Promise<UnreachableCause> {
		const {peerClient, now, isDetached} = this.#options;
		const age = now() - brokenAt;
		const answers = await Promise.all(this.#choosePeers().map(async ({snapshotAddress}) => peerClient.fetchServerContact(snapshotAddress, {server: server.id, incarnation: server.incarnation, age})));
		const contacts = answers.flatMap(answer => answer.isOk ? [answer.value] : []);
		if (isDetached() || contacts.some(({contact}) => contact === 'reached')) {
			return 'link-lost';
		}

		return this.#isOverloaded(server.id, age) || contacts.some(({isOverloaded}) => isOverloaded) ? 'overloaded' : 'crashed';
	}

	// Picks peers at random, so that those that are out of touch as well are not asked each time.
	#choosePeers(): readonly HostDescription[] {
		const {hostName, clusterState, random, now} = this.#options;
		const peers = clusterState.hosts.listServing(now()).filter(({name}) => name !== hostName);
		const first = Math.floor(random.next() * peers.length);
		return [...peers.slice(first), ...peers.slice(0, first)].slice(0, witnessCount);
	}

	#isOverloaded(server: string, age: Milliseconds): boolean {
		const {clusterState, now} = this.#options;
		return clusterState.health.hasRejectedSince(server, now() - age - overloadWindow);
	}
}
