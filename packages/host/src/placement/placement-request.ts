import type {EnginePlacement, Route, ServerEntry} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ClientRequest} from '../ports.js';

/** A request to be placed on a server, with everything that the choice depends on. */
export type PlacementRequest = {
	readonly request: ClientRequest;
	readonly route: Route;
	readonly service: string;
	readonly workspace: string | undefined;
	/** Whether the prompt cache of the workspace is kept apart from that of other workspaces. */
	readonly isIsolated: boolean;
	/** Ids of the servers that were tried already. */
	readonly excludedServers: ReadonlySet<string>;
	/** The software version that began the stream; `undefined` if any server may execute the request. */
	readonly requiredVersion: string | undefined;
};

/** The server chosen for a request. */
export type ChosenServer = {
	readonly entry: ServerEntry;
	/** The placement on a model server; `undefined` for requests other than generations. */
	readonly engine: EnginePlacement | undefined;
	/** How long the server's weights had been outdated, as far as this host knows; `undefined` for requests other than generations. */
	readonly outdatedTime?: Milliseconds;
};

/**
 * The chosen server, or why there is none.
 *
 * - `full`: no server has capacity yet, or a shared part of the prompt is still being prefilled (`isPromptPending`).
 * - `paused`: the servers want no requests until the end of `wait`, as they asked for pauses or named limits.
 * - `none`: no server is available.
 */
export type PlacementResult
	= | {readonly type: 'chosen'; readonly chosen: ChosenServer}
		| {readonly type: 'full'; readonly estimatedWait: Milliseconds; readonly isPromptPending?: boolean}
		| {readonly type: 'paused'; readonly wait: Milliseconds}
		| {readonly type: 'none'};
