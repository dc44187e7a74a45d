/**
 * Messages between daemons. docs/PEER-PROTOCOL.md specifies the wire format; the shell validates
 * every decoded message against these types before the core receives it.
 */

import type {
  BackendName,
  DaemonName,
  Incarnation,
  PoolName,
  ZoneName,
} from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { ConfigurationDocument } from '../configuration/document.js';
import type { Endpoint, EngineReport } from '../registry/backend.js';

/** The header of every message; identifies the sender. */
export interface PeerHeader {
  readonly sender: DaemonName;
  readonly incarnation: Incarnation;
  /**
   * The sender's monotonic clock in whole milliseconds. It is meaningful only to the sender, which
   * gets it back as an echo. Rounded down, as an earlier time gives a shorter grant: the safe side.
   */
  readonly sentAt: MonotonicMs;
  /** The version of the configuration in force on the sender; null before there is one. */
  readonly inForce: number | null;
  /** The highest version known to the sender. */
  readonly highestVersion: number;
}

/** `left`: the daemon announced a planned stop. `dead`: the other daemons detected a failure. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** The gossiped state of one daemon. */
export interface MemberUpdate {
  readonly name: DaemonName;
  readonly zone: ZoneName;
  readonly endpoint: Endpoint;
  /** Increases with each start of the daemon. */
  readonly incarnation: Incarnation;
  /** Increases within an incarnation each time the daemon refutes a suspicion. */
  readonly refutation: number;
  readonly status: MemberStatus;
  /** The daemon that suspects this one; null unless `status` is `suspect`. */
  readonly suspectedBy: DaemonName | null;
}

/** A summary of a zone's members: equal hashes mean equal tables. */
export interface ZoneSummary {
  readonly zone: ZoneName;
  readonly hash: number;
  /** Increases while any relay of the zone runs. If it stops, the zone is cut off or down. */
  readonly heartbeat: number;
}

/** A zone's heartbeat without its hash, as carried by pings and acks. */
export interface ZoneHeartbeat {
  readonly zone: ZoneName;
  readonly heartbeat: number;
}

/** Membership's messages. The first update of a ping and an ack is the sender's own. */
export type MembershipMessage =
  | {
      readonly kind: 'ping';
      readonly sequence: number;
      /**
       * The intended receiver: another daemon at the same address must not answer. Empty when the
       * sender does not know which daemon is there; then any daemon answers.
       */
      readonly target: DaemonName;
      readonly updates: readonly MemberUpdate[];
      readonly heartbeats: readonly ZoneHeartbeat[];
    }
  | {
      readonly kind: 'ack';
      readonly sequence: number;
      readonly updates: readonly MemberUpdate[];
      readonly heartbeats: readonly ZoneHeartbeat[];
    }
  /** Asks a third daemon to ping `target` and to forward its ack with `sequence`. */
  | {
      readonly kind: 'ping-request';
      readonly sequence: number;
      readonly target: DaemonName;
      readonly endpoint: Endpoint;
      readonly updates: readonly MemberUpdate[];
    }
  | {
      readonly kind: 'table-summary';
      readonly replyTo: Endpoint;
      readonly zones: readonly ZoneSummary[];
    }
  /** Complete tables of zones, over a stream; `answerWanted` requests the receiver's in return. */
  | {
      readonly kind: 'table';
      readonly replyTo: Endpoint;
      readonly zones: readonly ZoneName[];
      readonly members: readonly MemberUpdate[];
      readonly answerWanted: boolean;
    };

/** The fields of a report that seldom change. */
export type EngineInventory = Pick<
  EngineReport,
  'boot' | 'role' | 'models' | 'fence' | 'lastOrder' | 'maxBatch'
>;

/** One engine in a digest. */
export interface EngineDigest
  extends Pick<EngineReport, 'engine' | 'intake' | 'busy' | 'leaving' | 'activeRequests' | 'load'> {
  /** A hash of the inventory. */
  readonly revision: number;
  /** Null if the receiver has stated that it has the inventory of this revision. */
  readonly inventory: EngineInventory | null;
  /** The time from the watcher's poll to the sending of this digest, by the watcher's clock. */
  readonly ageMs: Milliseconds;
}

/**
 * An engine of which a daemon requests digests, with the inventory revision it has; null for none.
 */
export interface EngineInterest {
  readonly engine: BackendName;
  readonly revision: number | null;
}

/**
 * Refers to a message that the sender received from the receiver, so that their clocks can be
 * related.
 */
export interface Echo {
  /**
   * The receiver's incarnation that sent it: clocks of different incarnations can't be compared.
   */
  readonly incarnation: Incarnation;
  /** That message's `sentAt`, by the receiver's clock. */
  readonly sentAt: MonotonicMs;
  /**
   * The time from the arrival of that message to the sending of this one, by the sender's clock.
   */
  readonly ageMs: Milliseconds;
}

/** Digests of engines, from the daemon that polls them to the daemons that use them. */
export type DigestMessage =
  /** The engines of which the sender requests digests for the lifetime of an interest. */
  | { readonly kind: 'engine-interest'; readonly engines: readonly EngineInterest[] }
  | {
      readonly kind: 'engine-digest';
      readonly echo: Echo;
      readonly engines: readonly EngineDigest[];
    };

/** Messages that distribute configurations. */
export type ConfigurationMessage =
  /**
   * A version is in force on the sender. The receiver confirms its version to `origin` unless null.
   */
  | {
      readonly kind: 'configuration-announce';
      readonly version: number;
      readonly origin: Endpoint | null;
    }
  | { readonly kind: 'configuration-pull'; readonly above: number; readonly replyTo: Endpoint }
  | {
      readonly kind: 'configuration-content';
      readonly version: number;
      readonly hash: string;
      readonly document: ConfigurationDocument;
    }
  /**
   * Declines a pull because of too many recent ones; the receiver should pull from another daemon.
   */
  | { readonly kind: 'configuration-busy'; readonly version: number }
  /** The version in force on the sender, confirmed to the daemon that recorded a change. */
  | { readonly kind: 'configuration-confirm'; readonly version: number };

/**
 * A daemon's answered requests in a pool since its last such message, for the pool's candidates.
 */
export interface DemandMessage {
  readonly kind: 'demand';
  readonly pool: PoolName;
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Any message between daemons. */
export type PeerMessage = MembershipMessage | DigestMessage | ConfigurationMessage | DemandMessage;

/** Datagrams carry at most 1,200 bytes and may be lost; a stream carries larger messages. */
export type PeerChannel = 'datagram' | 'stream';

/** Asks the shell to send a message. Delivery is not confirmed. */
export interface PeerEffect {
  readonly kind: 'peer-send';
  readonly to: Endpoint;
  readonly channel: PeerChannel;
  readonly message: PeerMessage;
}

/** An authenticated, well-formed message from another daemon. */
export interface PeerReceivedEvent {
  readonly kind: 'peer-received';
  /** The source address of a datagram or the remote end of a stream's connection. */
  readonly from: Endpoint;
  readonly header: PeerHeader;
  readonly message: PeerMessage;
}

/** An effect that sends a datagram. */
export function datagram(to: Endpoint, message: PeerMessage): PeerEffect {
  return { kind: 'peer-send', to, channel: 'datagram', message };
}

/** An effect that sends over a stream. */
export function stream(to: Endpoint, message: PeerMessage): PeerEffect {
  return { kind: 'peer-send', to, channel: 'stream', message };
}
