export type {
	ClaimQuestion, ClaimReply, CreditReply, CreditRequest, ExchangeReply, ExchangeRequest, PrefixReply,
} from './messages.js';
export {type Peer, type PeerError, createPeer} from './peer-client.js';
export {
	type PeerHandler, type PeerProcedures, type PeerServer, peerProcedures, servePeers,
} from './peer-server.js';
