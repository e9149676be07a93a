import type {Configuration, Route, Workspace} from './configuration.js';

/** Finds routes and workspaces of one configuration; built once per version. */
export class RouteIndex {
	readonly configuration: Configuration;
	readonly #routes = new Map<string, Map<string, Route>>();
	readonly #workspaces = new Map<string, Workspace>();

	constructor(configuration: Configuration) {
		this.configuration = configuration;
		for (const route of configuration.routes) {
			const host = route.host.toLowerCase();
			const prefixes = this.#routes.get(host) ?? new Map<string, Route>();
			prefixes.set(route.prefix, route);
			this.#routes.set(host, prefixes);
		}

		for (const workspace of configuration.workspaces ?? []) {
			for (const key of workspace.keys) {
				this.#workspaces.set(key, workspace);
			}
		}
	}

	/**
	 * Finds the route with the longest prefix.
	 *
	 * @param host - The host name that the client asked for; a port is ignored.
	 * @param path - The path without its query.
	 * @returns The route, if any.
	 */
	findRoute(host: string, path: string): Route | undefined {
		const prefixes = this.#routes.get(host.replace(/:\d+$/v, '').toLowerCase());
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
	 * Finds the workspace that holds a key.
	 *
	 * @param key - The key that a client presented.
	 * @returns The workspace, if any.
	 */
	findWorkspace(key: string): Workspace | undefined {
		return this.#workspaces.get(key);
	}
}
