export {type InboundOptions, Inbound} from './inbound.js';
export type {InboundConnection, InboundExchange} from './inbound-connection.js';
export {
	type HeadLimits, type InboundServer, type InboundServerOptions, serveInbound,
} from './inbound-server.js';
export {type RequestBody, type RequestBodyOptions, receiveBody} from './request-body.js';
