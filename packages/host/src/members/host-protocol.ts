/**
 * Version of the protocol between hosts, in messages, snapshots and forwarded requests. Raise it when a host of an earlier version would
 * misunderstand one of them; fields that earlier versions may ignore do not count.
 */
export const hostProtocolVersion = 1;

/** What a build can do for its peers. A build that announces none may still be able to. */
export const hostCapabilities = ['forwarding'] as const;

export type HostCapability = typeof hostCapabilities[number];
