import type {Configuration, Route, Workspace} from './configuration.js';

/** Lookup tables for the routes and API keys of one configuration, built once per version. */
export class RouteIndex {
	readonly configuration: Configuration;
	readonly #routesByHost = new Map<string, Map<string, Route>>();
	readonly #workspacesByKey = new Map<string, Workspace>();

	constructor(configuration: Configuration) {
		this.configuration = configuration;
		for (const route of configuration.routes) {
			const host = route.host.toLowerCase();
			const prefixes = this.#routesByHost.get(host) ?? new Map<string, Route>();
			prefixes.set(route.prefix, route);
			this.#routesByHost.set(host, prefixes);
		}

		for (const workspace of configuration.workspaces ?? []) {
			for (const key of workspace.keys) {
				this.#workspacesByKey.set(key, workspace);
			}
		}
	}

	/**
	 * Finds the route with the longest matching prefix; only whole path segments match.
	 *
	 * @param host - The requested host name; letter case and a port are ignored.
	 * @param path - The request path without its query.
	 * @returns The route, `undefined` when none matches.
	 */
	findRoute(host: string, path: string): Route | undefined {
		const prefixes = this.#routesByHost.get(host.replace(/:\d+$/v, '').toLowerCase());
		if (prefixes === undefined) {
			return undefined;
		}

		for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
			const route = prefixes.get(path.slice(0, end + 1));
			if (route !== undefined) {
				return route;
			}
		}

		return undefined;
	}

	/**
	 * Finds the workspace of an API key.
	 *
	 * @param key - The key that the client sent.
	 * @returns The workspace, `undefined` for an unknown key.
	 */
	findWorkspace(key: string): Workspace | undefined {
		return this.#workspacesByKey.get(key);
	}
}
