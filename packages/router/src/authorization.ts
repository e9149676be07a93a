import type {RouteState} from '@lacewingpoint/coordination';
import {Result} from 'true-myth';
import type {Clock} from './clock.js';
import {type Refusal, notRun} from './router-error.js';
import type {Tables} from './tables.js';

/** Who pays for a request and owns its cache; nothing pays on an open route that names no payer. */
export type Authorized = {readonly workspace: string; readonly isCharged: boolean};

const retryAfterLostContact = 1000;
const openWorkspace = 'open';

/**
 * Decides whether a request may take up new work now. Called when it arrives and again when it is dispatched,
 * so that a key withdrawn meanwhile, or contact lost in a freeze, stops it.
 *
 * @param tables - The router's state.
 * @param clock - The clock, read at the decision.
 * @param route - The route that the request asks for.
 * @param secret - The caller's key.
 * @returns The workspace that the request runs for, or a refusal.
 */
export function authorize(tables: Tables, clock: Clock, route: RouteState, secret: string | undefined): Result<Authorized, Refusal> {
	if (tables.contact.state(clock.now()) === 'lost') {
		return Result.err(notRun('no-contact', 'this host has lost contact with the configuration; use another address', retryAfterLostContact));
	}

	const workspace = secret === undefined ? undefined : tables.configuration.workspaceOf(secret);
	if (secret !== undefined && workspace === undefined) {
		return Result.err(notRun('unknown-key', 'the key is unknown or withdrawn'));
	}

	if (workspace === undefined) {
		return route.openToAll
			? Result.ok({workspace: route.paidBy ?? openWorkspace, isCharged: route.paidBy !== undefined})
			: Result.err(notRun('unknown-key', 'this route needs a key'));
	}

	const isAllowed = route.openToAll || route.workspaces === undefined || route.workspaces.includes(workspace);
	return isAllowed
		? Result.ok({workspace, isCharged: true})
		: Result.err(notRun('forbidden-route', `workspace ${workspace} may not use this route`));
}
