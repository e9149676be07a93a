import type {DeploymentHost} from '@lacewingpoint/settings';
import {request} from 'undici';
import * as v from 'valibot';
import {type AskHost, holdsQuestion} from './acceptance.js';

const callTimeout = 1000;

const holdsSchema = v.object({holds: v.boolean(), ready: v.boolean(), incarnation: v.number()});

const statusSchema = v.object({
	host: v.string(),
	contact: v.string(),
	ready: v.boolean(),
	epoch: v.number(),
	joint: v.boolean(),
	members: v.array(v.string()),
	highestTicket: v.number(),
	digest: v.number(),
});

/** What a router says of itself. */
export type HostStatus = Readonly<v.InferOutput<typeof statusSchema>>;

async function call<Schema extends v.GenericSchema>(url: string, schema: Schema, body?: string): Promise<v.InferOutput<Schema> | undefined> {
	try {
		const response = await request(url, {method: body === undefined ? 'GET' : 'POST', body, signal: AbortSignal.timeout(callTimeout)});
		const checked = v.safeParse(schema, await response.body.json());
		return checked.success ? checked.output : undefined;
	} catch {
		return undefined;
	}
}

/** Asks a router on its operators' port whether it holds a ticket. */
export const askHost: AskHost = async (host, ticket) => call(`http://${host.operatorsAddress}/v1/holds`, holdsSchema, holdsQuestion(ticket));

/**
 * Asks a router for its state.
 *
 * @param host - The host.
 * @returns Its state, or nothing when it does not answer.
 */
export async function readStatus(host: DeploymentHost): Promise<HostStatus | undefined> {
	return call(`http://${host.operatorsAddress}/v1/status`, statusSchema);
}
