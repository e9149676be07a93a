import * as v from 'valibot';

/** The kinds of object that a ticket can touch. */
export const objectKinds = ['workspace', 'key', 'model', 'route', 'backend'] as const;

/** The kinds of object that are replicated: those of tickets, and the marks that controllers set. */
export type ObjectKind = (typeof objectKinds)[number] | 'draining';

const nameSchema = v.pipe(v.string(), v.regex(/^[\w.:\-]{1,120}$/v, '1 to 120 letters, digits, or any of _ . : -'));
const positive = v.pipe(v.number(), v.minValue(0), v.finite());
const addressSchema = v.pipe(v.string(), v.regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v, 'an IP number and port, such as 10.0.0.1:8080'));

/** A workspace: its rate in tokens a second and its burst in tokens, over all hosts together. */
export const workspaceSchema = v.strictObject({
	tokensPerSecond: positive,
	burstTokens: positive,
	weight: v.optional(v.pipe(v.number(), v.minValue(0.01)), 1),
});

/** A caller's key, kept as the SHA-256 of its secret in hexadecimal. */
export const keySchema = v.strictObject({
	sha256: v.pipe(v.string(), v.regex(/^[\da-f]{64}$/v, '64 hexadecimal digits')),
	workspace: nameSchema,
});

/** The weights that a model's servers run, and how many may load at once. */
export const modelSchema = v.strictObject({
	version: nameSchema,
	adapters: v.optional(v.array(nameSchema), []),
	loadsAtOnce: v.pipe(v.number(), v.integer(), v.minValue(1)),
});

const priority = v.optional(v.picklist(['normal', 'high']), 'normal');

/** What callers can ask for: a model by name, or a plain service below a path. */
export const routeSchema = v.variant('type', [
	v.strictObject({
		type: v.literal('model'),
		model: nameSchema,
		adapter: v.optional(nameSchema),
		openToAll: v.optional(v.boolean(), false),
		// The workspace that pays for requests without a key on an open route.
		paidBy: v.optional(nameSchema),
		workspaces: v.optional(v.array(nameSchema)),
		priority,
	}),
	v.strictObject({
		type: v.literal('service'),
		path: v.pipe(v.string(), v.regex(/^\/[\w\/\-]*$/v, 'a path such as /bookings')),
		service: nameSchema,
		openToAll: v.optional(v.boolean(), false),
		// The workspace that pays for requests without a key on an open route.
		paidBy: v.optional(nameSchema),
		workspaces: v.optional(v.array(nameSchema)),
		idempotentMethods: v.optional(v.array(v.picklist(['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH'])), []),
		tokensPerRequest: v.optional(positive, 0),
		priority,
	}),
]);

/** A backend server: a model engine or a plain service. */
export const backendSchema = v.variant('type', [
	v.strictObject({
		type: v.literal('engine'),
		address: addressSchema,
		failureDomain: nameSchema,
		model: nameSchema,
		checksFencing: v.optional(v.boolean(), false),
		drained: v.optional(v.boolean(), false),
	}),
	v.strictObject({
		type: v.literal('service'),
		address: addressSchema,
		failureDomain: nameSchema,
		service: nameSchema,
		drained: v.optional(v.boolean(), false),
	}),
]);

export type WorkspaceState = Readonly<v.InferOutput<typeof workspaceSchema>>;
export type KeyState = Readonly<v.InferOutput<typeof keySchema>>;
export type ModelState = Readonly<v.InferOutput<typeof modelSchema>>;
export type RouteState = Readonly<v.InferOutput<typeof routeSchema>>;
export type BackendState = Readonly<v.InferOutput<typeof backendSchema>>;

const objectOf = <const Kind extends ObjectKind, const Schema extends v.GenericSchema>(kind: Kind, state: Schema) => v.object({
	kind: v.literal(kind),
	name: nameSchema,
	// Null deletes the object; the deletion keeps its number.
	state: v.nullable(state),
});

const objectSchema = v.variant('kind', [
	objectOf('workspace', workspaceSchema),
	objectOf('key', keySchema),
	objectOf('model', modelSchema),
	objectOf('route', routeSchema),
	objectOf('backend', backendSchema),
]);

/** A controller's mark that a backend server gets no new work while its weights change. */
const drainingSchema = v.object({kind: v.literal('draining'), name: nameSchema, state: v.nullable(v.object({fencing: v.number()}))});

/** A numbered change: the whole new state of each object it touches. */
export const ticketSchema = v.strictObject({
	number: v.pipe(v.number(), v.safeInteger(), v.minValue(1)),
	author: v.pipe(v.string(), v.minLength(1), v.maxLength(120)),
	reason: v.optional(v.string()),
	objects: v.pipe(v.array(objectSchema), v.minLength(1)),
});

export type TicketObject = Readonly<v.InferOutput<typeof objectSchema>>;
export type Ticket = Readonly<v.InferOutput<typeof ticketSchema>>;

export type DrainingObject = Readonly<v.InferOutput<typeof drainingSchema>>;

/** One object's state with the number that orders it: the ticket's, or the count of writes of a controller's mark. */
export type Register = (TicketObject | DrainingObject) & {readonly number: number};

const numbered = v.object({number: v.number()});

export const registerSchema = v.union([v.intersect([drainingSchema, numbered]), v.intersect([objectSchema, numbered])]);

/**
 * Splits a ticket into one register for each object it touches.
 *
 * @param ticket - The accepted ticket.
 * @returns The registers.
 */
export function registersOf(ticket: Ticket): Register[] {
	return ticket.objects.map(object => ({...object, number: ticket.number}));
}
