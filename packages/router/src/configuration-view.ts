import {createHash, timingSafeEqual} from 'node:crypto';
import type {
	BackendState, ModelState, RouteState, TicketTable, WorkspaceState,
} from '@lacewingpoint/coordination';

/** A route with its name. */
export type NamedRoute<Type extends RouteState['type'] = RouteState['type']> = {
	readonly name: string;
	readonly route: Extract<RouteState, {type: Type}>;
};

/** A backend server with its name. */
export type NamedBackend = {readonly name: string; readonly backend: BackendState};

type KeyRow = {readonly digest: Uint8Array; readonly workspace: string};

/** The configuration in force, arranged for look-ups by the request path. */
export class ConfigurationView {
	#keys = new Map<string, KeyRow>();
	#modelRoutes = new Map<string, NamedRoute<'model'>>();
	#serviceRoutes: Array<NamedRoute<'service'>> = [];
	#workspaces = new Map<string, WorkspaceState>();
	#models = new Map<string, ModelState>();
	#backends: readonly NamedBackend[] = [];

	/**
	 * Rebuilds the look-ups after tickets changed.
	 *
	 * @param tickets - The configuration.
	 */
	rebuild(tickets: TicketTable): void {
		this.#keys = new Map(tickets.list('key').map(({state}) => [state!.sha256, {digest: Buffer.from(state!.sha256, 'hex'), workspace: state!.workspace}]));
		this.#workspaces = new Map(tickets.list('workspace').map(({name, state}) => [name, state!]));
		this.#models = new Map(tickets.list('model').map(({name, state}) => [name, state!]));
		this.#backends = tickets.list('backend').map(({name, state}) => ({name, backend: state!}));
		this.#rebuildRoutes(tickets);
	}

	get workspaces(): ReadonlyMap<string, WorkspaceState> {
		return this.#workspaces;
	}

	get backends(): readonly NamedBackend[] {
		return this.#backends;
	}

	get modelRoutes(): ReadonlyMap<string, NamedRoute<'model'>> {
		return this.#modelRoutes;
	}

	/**
	 * Finds the workspace of a caller's key.
	 *
	 * @param secret - The key as the caller sent it.
	 * @returns The workspace, or nothing when the key is unknown or withdrawn.
	 */
	workspaceOf(secret: string): string | undefined {
		const digest = createHash('sha256').update(secret).digest();
		const row = this.#keys.get(digest.toString('hex'));
		return row !== undefined && timingSafeEqual(digest, row.digest) && this.#workspaces.has(row.workspace) ? row.workspace : undefined;
	}

	/**
	 * Finds the route of a plain service by the longest path that leads to it.
	 *
	 * @param path - The path of the request, without its query.
	 * @returns The route.
	 */
	serviceRoute(path: string): NamedRoute<'service'> | undefined {
		return this.#serviceRoutes.find(({route}) => path === route.path || path.startsWith(route.path.endsWith('/') ? route.path : `${route.path}/`));
	}

	/**
	 * Tells the weights that a model is to run.
	 *
	 * @param model - The model.
	 * @returns The state that tickets set.
	 */
	model(model: string): ModelState | undefined {
		return this.#models.get(model);
	}

	#rebuildRoutes(tickets: TicketTable): void {
		const routes = tickets.list('route').map(({name, state}) => ({name, route: state!}));
		this.#modelRoutes = new Map(routes.filter((named): named is NamedRoute<'model'> => named.route.type === 'model').map(named => [named.name, named]));
		this.#serviceRoutes = routes
			.filter((named): named is NamedRoute<'service'> => named.route.type === 'service')
			.toSorted((left, right) => right.route.path.length - left.route.path.length);
	}
}
