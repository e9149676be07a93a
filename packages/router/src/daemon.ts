import {EpochMaintenance, type HostRecord} from '@lacewingpoint/coordination';
import {type CreditReply, servePeers} from '@lacewingpoint/peer';
import {EtcdKeyValueService, HttpHostList} from '@lacewingpoint/platform';
import type {Deployment, DeploymentHost} from '@lacewingpoint/settings';
import {
	type Disposable, type Logger, DisposableStore, startRepeatingTask, Metrics,
} from '@lacewingpoint/shared';
import {AdmissionService} from './admission-service.js';
import {BackendLinks} from './backend-links.js';
import {type CallersContext, CallersServer} from './callers-server.js';
import {ClaimService} from './claim-service.js';
import {ClaimStore} from './claim-store.js';
import type {Clock} from './clock.js';
import {CreditService} from './credit-service.js';
import {InFlightTable} from './in-flight-table.js';
import {OperatorsServer} from './operators-server.js';
import {PeerLinks, answerExchange} from './peer-links.js';
import type {RouterContext} from './router-context.js';
import {StoreLink} from './store-link.js';
import {type Tables, createTables} from './tables.js';

const tickInterval = 100;
const settleMargin = 1000;
const dryPause = 250;
const keepPause = 500;
const keepAttempts = 60;
const addressLifetimeSeconds = 3;
const snapshotBlocksPerServer = 512;
const stopPoll = 20;

/** A running router. */
export class RouterDaemon implements Disposable {
	readonly #deployment: Deployment;
	readonly #host: DeploymentHost;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #incarnation: number;
	readonly #disposables = new DisposableStore();
	readonly #tables: Tables;
	#callers: CallersServer | undefined;

	constructor(deployment: Deployment, host: DeploymentHost, clock: Clock, logger: Logger) {
		this.#deployment = deployment;
		this.#host = host;
		this.#clock = clock;
		this.#logger = logger;
		this.#incarnation = clock.wall().getTime();
		this.#tables = createTables(deployment, host, clock.now());
	}

	/** Starts every part; callers are admitted once the configuration is in force. */
	async start(): Promise<void> {
		const context: RouterContext = {
			tables: this.#tables, clock: this.#clock, metrics: new Metrics(), logger: this.#logger,
		};
		const {platform} = this.#deployment;
		const store = this.#own(new EtcdKeyValueService({origin: platform.keyValueService, timeout: platform.callTimeoutMilliseconds}));
		const inFlight = new InFlightTable();
		const links = this.#own(this.#createPeerLinks(context));
		const backends = this.#own(this.#createBackendLinks(context, inFlight));
		const claims = new ClaimService(new ClaimStore(store), links, this.#logger, {claimer: `${this.#host.id}/${this.#incarnation}`, keepPause, keepAttempts});
		const storeLink = this.#own(this.#createStoreLink(context, store));
		const admission = new AdmissionService(this.#tables.admission, this.#clock);
		this.#gauges(context.metrics, inFlight);
		await this.#servePeers(context, claims);
		await this.#serveOperators(context);

		storeLink.start();
		links.start();
		backends.start(platform.hostList === undefined ? undefined : this.#own(new HttpHostList(platform.hostList, platform.callTimeoutMilliseconds)));
		this.#startTicks(admission);
		await this.#catchUp(links);
		await this.#serveCallers({
			...context,
			admission,
			backends,
			inFlight,
			claims,
			credit: this.#createCreditService(context, links),
			slowStart: this.#deployment.engines.slowStartMilliseconds,
			keptAnswerBytes: this.#deployment.limits.keptAnswerBytes,
		});
		this.#logger.info('router-started', {incarnation: this.#incarnation, callers: this.#host.callersAddress});
	}

	/** Stops gracefully: leaves the address answers, goes on serving while they are kept, and finishes what runs. */
	async stop(): Promise<void> {
		this.#logger.info('router-leaving');
		this.#tables.contact.leave();
		const {exchangeIntervalMilliseconds} = this.#deployment.contact;
		await pause((addressLifetimeSeconds * 1000) + (2 * exchangeIntervalMilliseconds));
		this.#callers?.stopAccepting();
		const deadline = this.#clock.now() + this.#deployment.limits.stopMilliseconds;
		while ((this.#callers?.openRequests ?? 0) > 0 && this.#clock.now() < deadline) {
			await pause(stopPoll);
		}

		await this.dispose();
		this.#logger.info('router-stopped');
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	#own<Item extends Disposable>(item: Item): Item {
		return this.#disposables.add(item);
	}

	#createPeerLinks(context: RouterContext): PeerLinks {
		const {contact, hosts, platform} = this.#deployment;
		return new PeerLinks(context, {
			self: this.#host.id,
			failureDomain: this.#host.failureDomain,
			readersPerDomain: contact.watchersPerFailureDomain,
			incarnation: this.#incarnation,
			seeds: hosts.map(host => recordOf(host)),
			interval: contact.exchangeIntervalMilliseconds,
			fanout: contact.exchangeFanout,
			timeout: platform.callTimeoutMilliseconds,
		});
	}

	#createBackendLinks(context: RouterContext, inFlight: InFlightTable): BackendLinks {
		const {engines} = this.#deployment;
		return new BackendLinks(context, inFlight, {
			connections: engines.connections,
			connectTimeout: engines.connectMilliseconds,
			silenceTimeout: engines.silenceMilliseconds,
			stateInterval: engines.stateIntervalMilliseconds,
			followCacheEvents: engines.followCacheEvents,
		});
	}

	#createCreditService(context: RouterContext, links: PeerLinks): CreditService {
		const {credit} = this.#deployment;
		return new CreditService(context, links, {
			self: this.#host.id,
			longestWait: credit.longestWaitMilliseconds,
			longestWaitAfterStart: credit.longestWaitAfterStartMilliseconds,
			dryPause,
		});
	}

	async #servePeers({tables, metrics}: RouterContext, claims: ClaimService): Promise<void> {
		const self = {id: this.#host.id, incarnation: this.#incarnation};
		const server = this.#own(await servePeers({
			exchange: request => answerExchange(tables, self, request, this.#clock.now()),
			lendCredit: ({workspace, amount}) => lendCredit(tables, workspace, amount, this.#clock.now()),
			claimOutcome: ({claimId}) => ({outcome: claims.outcomeOf(claimId)}),
			prefixes: () => ({snapshots: tables.prefixes.snapshot(snapshotBlocksPerServer).map(snapshot => ({...snapshot, blocks: [...snapshot.blocks]}))}),
		}, this.#host.peerAddress));
		metrics.gauge('peer_bytes', () => server.bytes());
	}

	async #serveOperators({tables, metrics}: RouterContext): Promise<void> {
		const {id, operatorsAddress} = this.#host;
		const server = this.#own(new OperatorsServer(tables, this.#clock, metrics, {hostId: id, incarnation: this.#incarnation, address: operatorsAddress}));
		await server.listen();
	}

	async #serveCallers(context: CallersContext): Promise<void> {
		const {limits} = this.#deployment;
		this.#callers = this.#own(new CallersServer(context, {
			hostId: this.#host.id,
			address: this.#host.callersAddress,
			bodyBytes: limits.bodyBytes,
			headerBytes: limits.headerBytes,
			answerTokens: limits.answerTokens,
			callerSilence: limits.callerSilenceMilliseconds,
			addressLifetimeSeconds,
		}));
		await this.#callers.listen();
	}

	#createStoreLink(context: RouterContext, store: EtcdKeyValueService): StoreLink {
		const {contact} = this.#deployment;
		const maintenance = new EpochMaintenance({
			self: this.#host.id,
			removalAfter: contact.removalMilliseconds,
			settleAfter: contact.boundMilliseconds + settleMargin,
		}, this.#clock.now());
		return new StoreLink(context, store, maintenance, {
			record: recordOf(this.#host),
			initialHosts: this.#deployment.hosts.map(host => recordOf(host)),
			interval: contact.storeIntervalMilliseconds,
			watchersPerFailureDomain: contact.watchersPerFailureDomain,
		});
	}

	// A start takes what comes first, the store or enough peers; hot prefixes come from any peer that answers.
	async #catchUp(links: PeerLinks): Promise<void> {
		const snapshots = links.peers().map(async peer => {
			const reply = await peer.prefixes();
			if (reply.isOk) {
				this.#tables.prefixes.restore(reply.value.snapshots, this.#clock.now());
			}
		});
		await Promise.race([Promise.all(snapshots), pause(this.#deployment.platform.callTimeoutMilliseconds)]);
		while (!this.#tables.contact.isReady) {
			await pause(stopPoll);
		}
	}

	#startTicks(admission: AdmissionService): void {
		const tables = this.#tables;
		let lastContact = '';
		this.#disposables.add(startRepeatingTask(tickInterval, () => {
			const now = this.#clock.now();
			const contact = tables.contact.state(now);
			tables.credit.tick(now, contact !== 'lost');
			tables.quarantine.tick(now);
			admission.pump();
			if (contact !== lastContact) {
				lastContact = contact;
				this.#logger.info('contact-changed', {contact});
			}
		}, error => {
			this.#logger.warn('tick-failed', {message: String(error)});
		}));
	}

	#gauges(metrics: Metrics, inFlight: InFlightTable): void {
		metrics.gauge('in_flight', () => inFlight.size);
		metrics.gauge('waiting', () => this.#tables.admission.waiting);
		metrics.gauge('known_blocks', () => this.#tables.prefixes.size);
		metrics.gauge('highest_ticket', () => this.#tables.tickets.highestNumber);
		metrics.gauge('resident_bytes', () => process.memoryUsage.rss());
		metrics.gauge('processor_seconds', () => {
			const {user, system} = process.cpuUsage();
			return (user + system) / 1_000_000;
		});
	}
}

function lendCredit(tables: Tables, workspace: string, wanted: number, now: number): CreditReply {
	tables.credit.refresh(workspace, now, tables.contact.state(now) !== 'lost');
	const amount = tables.credit.lend(workspace, wanted, now);
	return {amount, left: tables.credit.available(workspace, now)};
}

function recordOf(host: DeploymentHost): HostRecord {
	return {
		id: host.id, failureDomain: host.failureDomain, callersAddress: host.callersAddress, peerAddress: host.peerAddress,
	};
}

async function pause(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
