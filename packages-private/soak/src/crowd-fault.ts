import type {CrowdOptions, LocalHost, Misbehaviour} from '@lacewingpoint/local-cluster';
import type {ScheduledFault} from './fault-schedule.js';

/** What a crowd does at one listener. */
type CrowdKind = {
	readonly misbehaviour: Misbehaviour;
	readonly size: number;
	readonly listener: 'clientAddress' | 'directoryAddress' | 'snapshotAddress' | 'readinessAddress';
	readonly requestLine: string;
};

const post = 'POST /long/1 HTTP/1.1';
const get = 'GET /look/1 HTTP/1.1';

const crowdKinds: readonly CrowdKind[] = [
	{
		misbehaviour: 'tiny-chunks', size: 3, listener: 'clientAddress', requestLine: post,
	},
	{
		misbehaviour: 'declared-length', size: 40, listener: 'clientAddress', requestLine: post,
	},
	{
		misbehaviour: 'large-chunks', size: 40, listener: 'clientAddress', requestLine: post,
	},
	{
		misbehaviour: 'chunk-extensions', size: 5, listener: 'clientAddress', requestLine: post,
	},
	{
		misbehaviour: 'trailers', size: 20, listener: 'clientAddress', requestLine: post,
	},
	{
		misbehaviour: 'incomplete-head', size: 100, listener: 'clientAddress', requestLine: get,
	},
	{
		misbehaviour: 'malformed-head', size: 100, listener: 'clientAddress', requestLine: get,
	},
	{
		misbehaviour: 'silence', size: 200, listener: 'clientAddress', requestLine: get,
	},
	{
		misbehaviour: 'silence', size: 200, listener: 'directoryAddress', requestLine: get,
	},
	{
		misbehaviour: 'pipelining', size: 5, listener: 'directoryAddress', requestLine: 'GET /lookup?name=h.example&region=r&zone=a HTTP/1.1',
	},
	{
		misbehaviour: 'pipelining', size: 5, listener: 'readinessAddress', requestLine: 'GET /readiness HTTP/1.1',
	},
	{
		misbehaviour: 'tiny-chunks', size: 3, listener: 'snapshotAddress', requestLine: 'POST /forwarded HTTP/1.1',
	},
	{
		misbehaviour: 'endless-body', size: 5, listener: 'snapshotAddress', requestLine: 'POST /forwarded HTTP/1.1',
	},
];

/** Size of the bodies that are not completed, close to the limit of the soak's configuration. */
const bodySize = 100_000;

/**
 * Chooses a crowd of clients that misbehave.
 *
 * @param host - The host that they connect to.
 * @param fault - The fault, whose variant selects the crowd.
 * @returns What the crowd does.
 */
export function createCrowd(host: LocalHost, fault: ScheduledFault): CrowdOptions {
	const {misbehaviour, size, listener, requestLine} = crowdKinds[fault.variant % crowdKinds.length]!;
	return {
		misbehaviour, size, addresses: [host[listener]], requestLine, headers: ['Host: h.example', 'Attempt-Id: crowd', 'Api-Key: red-key', 'Deadline-Ms: 20000'], bodySize,
	};
}
