import {type LayerError, type Milliseconds, getErrorMessage} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {request} from 'undici';

/** A healthy host serves its metrics within milliseconds. */
const statusTimeout: Milliseconds = 2000;

/** Status of a host, taken from its metrics. */
export type HostStatus = {
	readonly address: string;
	readonly hasStoreContact: boolean;
	/** Version of the configuration in use. */
	readonly configuration: number;
	/** Time since the host applied this version. */
	readonly configurationAge: Milliseconds;
	/** Store revision up to which the host has applied changes. */
	readonly revision: number;
	/** Number of other hosts that serve and have sent a recent heartbeat. */
	readonly peers: number;
	/** Number of backend servers that the host knows. */
	readonly servers: number;
	/** Number of running requests. */
	readonly running: number;
	/** Number of queued requests. */
	readonly waiting: number;
};

/**
 * Reads a host's status from its metrics.
 *
 * @param address - IP address and port of the host's metrics endpoint.
 * @returns The status, or an error if the host does not respond (`unreachable`) or its response lacks a metric (`malformed`).
 */
export async function readHostStatus(address: string): Promise<Result<HostStatus, LayerError<'unreachable' | 'malformed'>>> {
	try {
		const response = await request(`http://${address}/metrics`, {signal: AbortSignal.timeout(statusTimeout)});
		return parseStatus(address, await response.body.text());
	} catch (error) {
		return Result.err({layer: 'command-line', code: 'unreachable', message: `${address}: ${getErrorMessage(error)}`});
	}
}

function parseStatus(address: string, text: string): Result<HostStatus, LayerError<'malformed'>> {
	const gauges = new Map(text.split('\n').map(line => {
		const separator = line.lastIndexOf(' ');
		return [line.slice(0, separator), Number(line.slice(separator + 1))] as const;
	}));
	const readGauge = (name: string) => gauges.get(`lacewingpoint_${name}`) ?? Number.NaN;
	const status: HostStatus = {
		address,
		hasStoreContact: readGauge('store_contact') === 1,
		configuration: readGauge('configuration_version'),
		configurationAge: readGauge('configuration_age_milliseconds'),
		revision: readGauge('store_revision'),
		peers: readGauge('hosts_serving'),
		servers: readGauge('servers'),
		running: readGauge('running'),
		waiting: readGauge('waiting'),
	};
	return Object.values(status).some(value => Number.isNaN(value))
		? Result.err({layer: 'command-line', code: 'malformed', message: `${address}: response has no metrics of a lacewingpoint host`})
		: Result.ok(status);
}
