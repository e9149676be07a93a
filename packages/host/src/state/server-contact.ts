import type {Milliseconds} from '@lacewingpoint/shared';

/** A question for what a peer knows of a server that the asking host does not reach. */
export type ContactQuestion = {
	readonly server: string;
	readonly incarnation: string;
	/** Time since the server broke off a request of the asking host, in milliseconds. */
	readonly age: Milliseconds;
};

/** What a host knows of a server. */
export type ServerContact = {
	/** Whether it reaches the server; `unknown` if it has no links to servers itself, or does not know the process. */
	readonly contact: 'reached' | 'unreachable' | 'unknown';
	/** Whether the server has rejected a request of the host for want of capacity just before. */
	readonly isOverloaded: boolean;
};
