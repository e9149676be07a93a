import type {
	Configuration, Route, Service, Workspace,
} from '../configuration.js';
import type {ConfigurationEntry, ConfigurationFinding} from './findings.js';

type Finding = Omit<ConfigurationFinding, 'entry'>;

const createError = (topic: Finding['topic'], message: string): Finding => ({severity: 'error', topic, message});
const createWarning = (topic: Finding['topic'], message: string): Finding => ({severity: 'warning', topic, message});

/**
 * Reviews a configuration that is valid by its schema: references to nothing, entries that can never match, limits that contradict each other.
 *
 * @param configuration - The configuration, before it is published.
 * @returns The findings in the order of the configuration's lists; empty if there are none.
 */
export function reviewConfiguration(configuration: Configuration): ConfigurationFinding[] {
	const review = <Entry>(list: ConfigurationEntry['list'], entries: readonly Entry[], reviewEntry: (entry: Entry, index: number) => readonly Finding[]) =>
		entries.flatMap((entry, index) => reviewEntry(entry, index).map(finding => ({...finding, entry: {list, index}})));
	const workspaces = configuration.workspaces ?? [];
	return [
		...review('routes', configuration.routes, (route, index) => [...reviewRoute(route, configuration), ...findHidingRoute(route, configuration.routes.slice(index + 1))]),
		...review('services', configuration.services, (service, index) => reviewService(service, index, configuration)),
		...review('workspaces', workspaces, (workspace, index) => reviewWorkspace(workspace, index, workspaces)),
		...reviewLimits(configuration).map(finding => ({...finding, entry: undefined})),
	];
}

function reviewRoute(route: Route, {services, workspaces}: Configuration): Finding[] {
	const findings: Finding[] = [];
	const known = new Map(services.map(service => [service.name, service]));
	if (route.services.length === 0) {
		findings.push(createError('reference', `route "${route.name}" names no service`));
	}

	for (const {service, weight} of route.services) {
		if (!known.has(service)) {
			findings.push(createError('reference', `route "${route.name}" names service "${service}", which does not exist`));
		} else if (known.get(service)!.promptStore !== undefined) {
			findings.push(createError('reference', `route "${route.name}" names service "${service}", which is a prompt store and executes no requests`));
		}

		if (weight <= 0) {
			findings.push(createWarning('never-matches', `route "${route.name}" gives service "${service}" the weight ${weight}, so that it gets no requests`));
		}
	}

	if (route.services.length > 0 && route.services.every(({weight}) => weight <= 0)) {
		findings.push(createError('contradicting-limits', `the weights of route "${route.name}" add up to nothing`));
	}

	if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/')) {
		findings.push(createError('never-matches', `prefix "${route.prefix}" of route "${route.name}" does not begin and end with a slash, so that no path matches it`));
	}

	if (!route.isOpen && workspaces?.every(({keys}) => keys.length === 0) === true) {
		findings.push(createError('never-matches', `route "${route.name}" requires a key, and no workspace has one`));
	}

	return [...findings, ...reviewRouteTimes(route)];
}

function reviewRouteTimes({name, timeout, objective, pauseObjective, repeatability, maxServers}: Route): Finding[] {
	const findings: Finding[] = [];
	const isStream = repeatability === 'stream' || repeatability === 'resumable-stream';
	if (timeout <= 0) {
		findings.push(createError('contradicting-limits', `route "${name}" has a time-out of ${timeout} ms, so that no request can be served`));
	} else if (timeout < objective) {
		findings.push(createError('contradicting-limits', `the time-out of route "${name}" (${timeout} ms) is shorter than its latency objective (${objective} ms)`));
	}

	if (pauseObjective !== undefined && !isStream) {
		findings.push(createWarning('unused', `route "${name}" has an objective for pauses, but its responses are not streams`));
	} else if (pauseObjective !== undefined && pauseObjective > timeout) {
		findings.push(createWarning('contradicting-limits', `the objective for pauses of route "${name}" (${pauseObjective} ms) is longer than its time-out (${timeout} ms)`));
	}

	if (maxServers > 1 && (repeatability === 'once' || repeatability === 'stream')) {
		findings.push(createWarning('unused', `route "${name}" allows ${maxServers} servers, but its requests must not be repeated`));
	}

	return findings;
}

// Of two routes with the same host and prefix, the last one is in force.
function findHidingRoute(route: Route, laterRoutes: readonly Route[]): Finding[] {
	const hiding = laterRoutes.find(later => later.host.toLowerCase() === route.host.toLowerCase() && later.prefix === route.prefix);
	return hiding === undefined
		? []
		: [createError('never-matches', `route "${route.name}" is hidden by route "${hiding.name}", which has the same host and prefix`)];
}

function reviewService({name, engine, promptStore, maxConnections}: Service, index: number, {routes, services}: Configuration): Finding[] {
	const findings: Finding[] = [];
	if (services.slice(0, index).some(service => service.name === name)) {
		findings.push(createError('reference', `service "${name}" is listed twice`));
	}

	if (promptStore === undefined && !routes.some(route => route.services.some(({service}) => service === name))) {
		findings.push(createWarning('unused', `no route names service "${name}"`));
	}

	if (promptStore === undefined && maxConnections < (engine?.slots ?? 1)) {
		findings.push(createError('contradicting-limits', `a server of service "${name}" takes ${maxConnections} connections, fewer than the ${engine?.slots ?? 1} requests of its batch`));
	}

	if (promptStore?.memoryTokens === 0) {
		findings.push(createWarning('contradicting-limits', `the prompt store "${name}" has no memory`));
	}

	if (engine?.models.length === 0) {
		findings.push(createWarning('never-matches', `service "${name}" has model servers, but names no model`));
	}

	return findings;
}

function reviewWorkspace(workspace: Workspace, index: number, workspaces: readonly Workspace[]): Finding[] {
	const {name, keys, unitsPerSecond, burstUnits, countsTokens, plainTokens} = workspace;
	const findings: Finding[] = [];
	if (workspaces.slice(0, index).some(other => other.name === name)) {
		findings.push(createError('reference', `workspace "${name}" is listed twice`));
	}

	if (keys.length === 0) {
		findings.push(createWarning('never-matches', `workspace "${name}" has no key`));
	}

	for (const later of workspaces.slice(index + 1)) {
		const shared = keys.filter(key => later.keys.includes(key)).length;
		if (shared > 0) {
			findings.push(createError('never-matches', `workspace "${name}" shares ${shared} of its keys with workspace "${later.name}", which gets their requests`));
		}
	}

	const smallestCharge = countsTokens ? plainTokens : 1;
	if (unitsPerSecond > 0 && burstUnits < smallestCharge) {
		findings.push(createError('contradicting-limits', `the burst of workspace "${name}" (${burstUnits}) is below the charge for one request (${smallestCharge}), so that every request is over the limit`));
	} else if (unitsPerSecond <= 0 && burstUnits > 0) {
		findings.push(createWarning('contradicting-limits', `workspace "${name}" has a burst of ${burstUnits}, but no rate, so that it has no limit`));
	}

	return findings;
}

function reviewLimits({limits, routes, workspaces}: Configuration): Finding[] {
	const findings: Finding[] = [];
	for (const [limit, value] of Object.entries(limits)) {
		if (value <= 0) {
			findings.push(createError('contradicting-limits', `the limit ${limit} is ${value}, so that no request can be read`));
		}
	}

	if (routes.length === 0) {
		findings.push(createError('never-matches', 'there is no route, so that every request gets 404'));
	}

	if (workspaces?.length === 0) {
		findings.push(createError('never-matches', 'keys are required, and there is no workspace'));
	}

	return findings;
}
