import {readFile} from 'node:fs/promises';
import {type SettingsError, messageOf, readSettings} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import * as v from 'valibot';

const address = v.pipe(v.string(), v.regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v, 'an IP number and port, such as 10.0.0.1:8080'));
const origin = v.pipe(v.string(), v.regex(/^http:\/\/(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v, 'such as http://10.0.0.1:2379'));
const name = v.pipe(v.string(), v.regex(/^[\w.\-]{1,64}$/v, '1 to 64 letters, digits, or any of _ . -'));
const milliseconds = v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(600_000));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));

const hostSchema = v.strictObject({
	id: name,
	failureDomain: name,
	callersAddress: address,
	peerAddress: address,
	operatorsAddress: address,
});

const platformSchema = v.strictObject({
	keyValueService: origin,
	hostList: v.optional(origin),
	weightStore: v.optional(origin),
	callTimeoutMilliseconds: v.optional(milliseconds, 1000),
});

const contactSchema = v.optional(v.strictObject({
	boundMilliseconds: v.optional(milliseconds, 3000),
	exchangeIntervalMilliseconds: v.optional(milliseconds, 700),
	exchangeFanout: v.optional(count, 3),
	storeIntervalMilliseconds: v.optional(milliseconds, 1000),
	watchersPerFailureDomain: v.optional(count, 3),
	removalMilliseconds: v.optional(milliseconds, 6000),
}), {});

const creditSchema = v.optional(v.strictObject({
	homeHosts: v.optional(count, 9),
	loanLifetimeMilliseconds: v.optional(milliseconds, 400),
	loanMarginMilliseconds: v.optional(milliseconds, 200),
	longestWaitMilliseconds: v.optional(milliseconds, 1000),
	longestWaitAfterStartMilliseconds: v.optional(milliseconds, 5000),
}), {});

const limitsSchema = v.optional(v.strictObject({
	bodyBytes: v.optional(count, 4_194_304),
	headerBytes: v.optional(count, 16_384),
	answerTokens: v.optional(count, 1024),
	keptAnswerBytes: v.optional(count, 262_144),
	queueMilliseconds: v.optional(milliseconds, 2000),
	callerSilenceMilliseconds: v.optional(milliseconds, 10_000),
	stopMilliseconds: v.optional(milliseconds, 60_000),
}), {});

const enginesSchema = v.optional(v.strictObject({
	prefillTokensPerSecond: v.optional(count, 20_000),
	cellSize: v.optional(count, 16),
	cacheBlocks: v.optional(count, 2000),
	cacheLifetimeMilliseconds: v.optional(milliseconds, 60_000),
	followCacheEvents: v.optional(v.boolean(), false),
	connections: v.optional(count, 256),
	connectMilliseconds: v.optional(milliseconds, 500),
	silenceMilliseconds: v.optional(milliseconds, 10_000),
	stateIntervalMilliseconds: v.optional(milliseconds, 2000),
	backlogMilliseconds: v.optional(milliseconds, 400),
	slowStartMilliseconds: v.optional(milliseconds, 1500),
}), {});

const controllerSchema = v.optional(v.strictObject({
	leaseMilliseconds: v.optional(milliseconds, 5000),
	pauseMarginMilliseconds: v.optional(milliseconds, 5000),
	intervalMilliseconds: v.optional(milliseconds, 500),
	servingShare: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(1)), 0.5),
}), {});

/** The settings of one deployment: every host reads the same file and is told which host it is. */
export const deploymentSchema = v.strictObject({
	name,
	hosts: v.pipe(v.array(hostSchema), v.minLength(1)),
	platform: platformSchema,
	contact: contactSchema,
	credit: creditSchema,
	limits: limitsSchema,
	engines: enginesSchema,
	controller: controllerSchema,
});

export type Deployment = Readonly<v.InferOutput<typeof deploymentSchema>>;
export type DeploymentHost = Readonly<v.InferOutput<typeof hostSchema>>;

/**
 * Reads and checks a settings file.
 *
 * @param path - The file.
 * @returns The deployment, or every fault with its place.
 */
export async function readDeployment(path: string): Promise<Result<Deployment, SettingsError>> {
	try {
		return readSettings(await readFile(path, 'utf8'), deploymentSchema);
	} catch (error) {
		return Result.err({
			layer: 'settings', code: 'malformed', message: `${path}: ${messageOf(error)}`, faults: [],
		});
	}
}

/**
 * Finds a host of a deployment.
 *
 * @param deployment - The deployment.
 * @param id - The host's id.
 * @returns The host, or an error that lists the hosts there are.
 */
export function findHost(deployment: Deployment, id: string): Result<DeploymentHost, SettingsError> {
	const host = deployment.hosts.find(candidate => candidate.id === id);
	const known = deployment.hosts.map(candidate => candidate.id).join(', ');
	return host === undefined
		? Result.err({
			layer: 'settings', code: 'invalid', message: `no host ${id}; the settings name ${known}`, faults: [],
		})
		: Result.ok(host);
}

/** A host together with the deployment that it belongs to. */
export type HostSettings = {readonly deployment: Deployment; readonly host: DeploymentHost};

/**
 * Reads the settings of one host.
 *
 * @param path - The deployment's file.
 * @param hostId - The host's id.
 * @returns The deployment and the host in it.
 */
export async function readHostSettings(path: string, hostId: string): Promise<Result<HostSettings, SettingsError>> {
	const read = await readDeployment(path);
	return read.andThen(deployment => findHost(deployment, hostId).map(host => ({deployment, host})));
}
