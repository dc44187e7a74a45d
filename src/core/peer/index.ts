/** Messages between daemons, and helpers shared by the components that send them. */
export { contentHash, hash32 } from './hash.js';
export type {
  ConfigurationMessage,
  DemandMessage,
  DigestMessage,
  Echo,
  EngineDigest,
  EngineInterest,
  EngineInventory,
  MemberStatus,
  MembershipMessage,
  MemberUpdate,
  PeerChannel,
  PeerEffect,
  PeerHeader,
  PeerMessage,
  PeerReceivedEvent,
  ZoneHeartbeat,
  ZoneSummary,
} from './messages.js';
export { datagram, stream } from './messages.js';
export { StepRandom } from './random.js';
