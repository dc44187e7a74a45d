/** The transport between daemons; docs/PEER-PROTOCOL.md describes the wire form. */
export type { DropReason, PeerCounters } from './counters.js';
export { createDropLog } from './drop-log.js';
export {
  createPeerTransport,
  type PeerTransport,
  type PeerTransportOptions,
} from './transport.js';
