import {type Socket, createSocket} from 'node:dgram';
import type {HostDescription, HostState} from '@lacewingpoint/coordination';
import type {Quarantine} from '@lacewingpoint/routing';
import type {
	Disposable, Logger, Metrics, Milliseconds,
} from '@lacewingpoint/shared';
import type {Beliefs} from './beliefs.js';
import {
	type HostMessage, type PlacementNote, decodeHostMessage, encodeHostMessage,
} from './host-messages.js';

/** News is told at this pace: within it nine hosts rarely place the same prompt twice. */
const tellInterval: Milliseconds = 25;

/** A host without news tells that it lives at this pace. */
const heartbeatInterval: Milliseconds = 200;

/** What a datagram may carry, so that it is not split on the way. */
const notesPerMessage = 12;

export type HostLinksOptions = {
	readonly address: string;
	readonly description: HostDescription;
	readonly beliefs: Beliefs;
	readonly quarantine: Quarantine;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
	state(): HostState;
	/** Called when a peer knows more than this host. */
	onBehind(peer: HostDescription, message: {readonly configuration: number; readonly revision: number}): void;
};

/** Datagrams between hosts: who lives, what is known, charged, placed and seen. */
export class HostLinks implements Disposable {
	readonly #options: HostLinksOptions;
	readonly #socket: Socket;
	readonly #notes: PlacementNote[] = [];
	#weights: HostMessage['weights'] = [];
	#loading: HostMessage['loading'] = [];
	readonly #emptying = new Set<string>();
	readonly #unreachable = new Set<string>();
	#isClosed = false;
	#hasNews = false;
	#lastTold = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: HostLinksOptions) {
		this.#options = options;
		this.#socket = createSocket('udp4');
	}

	/** Starts talking. */
	async start(): Promise<void> {
		const [host, port] = this.#options.address.split(':');
		this.#socket.on('message', bytes => {
			this.#hear(bytes);
		});
		this.#socket.on('error', error => {
			this.#options.metrics.count('datagram_errors');
			this.#options.log.warn('datagram-error', {reason: error.message});
		});
		await new Promise<void>(resolve => {
			this.#socket.bind(Number(port), host, resolve);
		});
		this.#timer = setInterval(() => {
			if (this.#hasNews || this.#options.now() - this.#lastTold >= heartbeatInterval) {
				this.tell();
			}
		}, tellInterval);
	}

	/**
	 * Notes a placement for the peers.
	 *
	 * @param note - The placement.
	 */
	notePlacement(note: PlacementNote): void {
		this.#notes.push(note);
		this.#hasNews = true;
	}

	/** Notes that loads or charges have changed. */
	noteChange(): void {
		this.#hasNews = true;
	}

	/**
	 * Notes weights that a server was seen to run.
	 *
	 * @param server - The server.
	 * @param model - The model.
	 * @param version - The version.
	 */
	noteWeights(server: string, model: string, version: number): void {
		this.#weights.push({server, model, version});
		this.#hasNews = true;
	}

	/**
	 * Tells at once that a server is about to load weights.
	 *
	 * @param server - The server.
	 * @param time - How long at most.
	 */
	noteLoading(server: string, time: Milliseconds): void {
		this.#loading.push({server, time});
		this.tell();
	}

	/**
	 * Notes that a server is to be left to run empty.
	 *
	 * @param server - The server.
	 */
	noteEmptying(server: string): void {
		this.#emptying.add(server);
		this.#hasNews = true;
	}

	/**
	 * Tells at once that a server could not be reached.
	 *
	 * @param server - The server.
	 */
	noteUnreachable(server: string): void {
		this.#unreachable.add(server);
		this.tell();
	}

	/** Tells the peers all there is to tell. */
	tell(): void {
		if (this.#isClosed) {
			return;
		}

		const {beliefs, now} = this.#options;
		this.#hasNews = false;
		this.#lastTold = now();
		const peers = beliefs.hosts.peers(now());
		do {
			const message = this.#message(this.#notes.splice(0, notesPerMessage));
			const bytes = encodeHostMessage(message);
			for (const peer of peers) {
				const [host, port] = peer.peerAddress.split(':');
				this.#socket.send(bytes, Number(port), host, error => {
					if (error !== null) {
						this.#options.metrics.count('datagrams_unsent');
					}
				});
			}
		} while (this.#notes.length > 0);

		this.#weights = [];
		this.#loading = [];
		this.#emptying.clear();
		this.#unreachable.clear();
	}

	dispose(): void {
		clearInterval(this.#timer);
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#socket.close();
		}
	}

	#message(placements: PlacementNote[]): HostMessage {
		const {beliefs, description, quarantine, now} = this.#options;
		const loads: HostMessage['loads'] = {};
		for (const [server, load] of beliefs.loads.allOwn()) {
			loads[server] = [load.requests, load.unreadTokens, load.memoryTokens];
		}

		return {
			host: description,
			state: this.#options.state(),
			configuration: beliefs.configuration?.version ?? 0,
			revision: beliefs.revision,
			charged: Object.fromEntries(beliefs.quota.totals()),
			loads,
			placements,
			weights: this.#weights,
			loading: this.#loading,
			emptying: [...this.#emptying],
			unreachable: [...this.#unreachable],
			deaths: quarantine.suspects(now()),
		};
	}

	#hear(bytes: Uint8Array): void {
		const message = decodeHostMessage(bytes);
		const {beliefs, description, log, metrics, now, quarantine} = this.#options;
		if (message === undefined) {
			metrics.count('datagrams_unreadable');
			return;
		}

		const {host} = message;
		if (host.name === description.name) {
			return;
		}

		const moment = now();
		if (beliefs.hosts.hear(host, message.state, moment)) {
			log.info('host-heard', {host: host.name, state: message.state, incarnation: host.incarnation});
		}

		beliefs.quota.setPeers(beliefs.hosts.sharers(moment), moment);
		beliefs.quota.hear(host.name, host.incarnation, new Map(Object.entries(message.charged)), moment);
		beliefs.loads.hear(host.name, new Map(Object.entries(message.loads).map(([server, [requests, unreadTokens, memoryTokens]]) => [server, {requests, unreadTokens, memoryTokens}])), moment);
		for (const note of message.placements) {
			if (note.readyIn === undefined) {
				beliefs.prompts.forget(note.place, note.salt, note.parts);
			} else {
				beliefs.prompts.note(note.place, note.salt, note.parts, moment + note.readyIn);
			}
		}

		for (const {server, model, version} of message.weights) {
			beliefs.noteWeights(server, model, version);
		}

		for (const {server, time} of message.loading) {
			beliefs.weights.noteLoading(server, moment + time, moment);
		}

		for (const server of message.unreachable) {
			beliefs.health.hearUnreachable(server, moment);
		}

		for (const server of message.emptying) {
			beliefs.weights.noteEmptying(server, moment);
		}

		quarantine.merge(message.deaths, moment);
		if (message.configuration > (beliefs.configuration?.version ?? 0) || message.revision > beliefs.revision) {
			this.#options.onBehind(host, message);
		}
	}
}
