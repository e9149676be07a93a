import {readFileSync} from 'node:fs';
import {
	type InboundLimitSettings, type InboundLimits, type ListenerKind, InboundLedger, createInboundLimits, defaultInboundLimitSettings,
} from '@lacewingpoint/routing';
import {
	type Bytes, type Disposable, type Logger, type Metrics, type Milliseconds, DisposableStore,
} from '@lacewingpoint/shared';
import {InboundReport} from './inbound-report.js';
import {ReadScheduler} from './read-scheduler.js';

/** Time between two reviews of the open connections. */
const reviewInterval: Milliseconds = 500;

/** Descriptors for other than sockets, where the settings do not state the number of sockets. */
const reservedDescriptors = 64;

const fallbackSockets = 1024;

export type InboundOptions = {
	readonly settings: {
		readonly memory: Bytes;
		readonly maximumSockets?: number | undefined;
		readonly inbound?: InboundLimitSettings | undefined;
	};
	readonly log: Logger;
	readonly metrics: Metrics;
	now(): Milliseconds;
	/** @returns How long a client may stay idle. */
	idleTime(): Milliseconds;
};

/** What all listeners of a host share: the limits on what clients and peers can make it hold and do. */
export class Inbound implements Disposable {
	readonly limits: InboundLimits;
	readonly ledger: InboundLedger;
	readonly scheduler: ReadScheduler;
	readonly now: () => Milliseconds;
	readonly #disposables = new DisposableStore();

	/** @param options - The settings of the host, and its log and metrics. */
	constructor({settings, log, metrics, now, idleTime}: InboundOptions) {
		this.now = now;
		this.limits = createInboundLimits(settings.inbound ?? defaultInboundLimitSettings, {
			memory: settings.memory, sockets: settings.maximumSockets ?? Math.max(readDescriptorLimit() - reservedDescriptors, reservedDescriptors),
		});
		const report = this.#disposables.add(new InboundReport(log, metrics, () => this.ledger.heldBytes));
		this.ledger = new InboundLedger({
			limits: this.limits, now, stallTime: idleTime, onLimited(kind, reason) {
				report.add(kind, reason);
			},
		});
		this.scheduler = new ReadScheduler({
			turnTime: this.limits.readTurnTime, now, onTurnExhausted() {
				report.add('all', 'read-turn');
			},
		});
		for (const kind of Object.keys(this.limits.connections) as ListenerKind[]) {
			metrics.registerGauge(`inbound_connections_${kind}`, () => this.ledger.countConnections(kind));
		}

		const timer = setInterval(() => {
			this.ledger.review();
		}, reviewInterval);
		this.#disposables.defer(() => {
			clearInterval(timer);
		});
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}
}

// The limit of the operating system on the descriptors of this process.
function readDescriptorLimit(): number {
	try {
		const limit = /^Max open files\s+(?<soft>\d+)/mv.exec(readFileSync('/proc/self/limits', 'latin1'))?.groups?.soft;
		return limit === undefined ? fallbackSockets : Number(limit);
	} catch {
		return fallbackSockets;
	}
}
