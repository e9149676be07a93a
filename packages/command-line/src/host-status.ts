import {type LayerError, type Milliseconds, getErrorMessage} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {request} from 'undici';

/** A host answers its metrics within milliseconds; one that takes longer is in trouble. */
const statusTimeout: Milliseconds = 2000;

/** What a host says of itself. */
export type HostStatus = {
	readonly address: string;
	readonly hasStoreContact: boolean;
	readonly configuration: number;
	readonly configurationAge: Milliseconds;
	readonly revision: number;
	readonly peers: number;
	readonly servers: number;
	readonly running: number;
	readonly waiting: number;
};

/**
 * Reads a host's status from its metrics.
 *
 * @param address - The IP number and port of its metrics.
 * @returns The status, or why there is none.
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
		const at = line.lastIndexOf(' ');
		return [line.slice(0, at), Number(line.slice(at + 1))] as const;
	}));
	const read = (name: string) => gauges.get(`lacewingpoint_${name}`) ?? Number.NaN;
	const status: HostStatus = {
		address,
		hasStoreContact: read('store_contact') === 1,
		configuration: read('configuration_version'),
		configurationAge: read('configuration_age_milliseconds'),
		revision: read('store_revision'),
		peers: read('hosts_serving'),
		servers: read('servers'),
		running: read('running'),
		waiting: read('waiting'),
	};
	return Object.values(status).some(value => Number.isNaN(value))
		? Result.err({layer: 'command-line', code: 'malformed', message: `${address}: what answers there is no host of lacewingpoint`})
		: Result.ok(status);
}
